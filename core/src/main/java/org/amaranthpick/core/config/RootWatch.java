package org.amaranthpick.core.config;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.time.Scheduler;

/**
 * Watches the stored root. If a watch is silent for too long, the root is listed again and a new
 * watch opened. Guarded by the lock of the service.
 */
final class RootWatch {
    private static final Duration MAX_SILENCE = Duration.ofSeconds(3);
    private static final Duration RELIST_PERIOD = Duration.ofSeconds(60);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(500);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    private final Object mLock;
    private final ConfigurationStore mStore;
    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final Consumer<ConfigurationRoot> mOnRoot;
    private Optional<Watch> mWatch = Optional.empty();
    private Duration mBackoff = MIN_BACKOFF;
    private long mWatchNumber;
    private long mLastEventNs;
    private long mLastListNs;
    private long mRetryAtNs;
    private boolean mListing;
    private long mReplacedCount;

    RootWatch(
            Object lock,
            ConfigurationStore store,
            Scheduler scheduler,
            RandomGenerator random,
            Consumer<ConfigurationRoot> onRoot) {
        mLock = lock;
        mStore = store;
        mScheduler = scheduler;
        mRandom = random;
        mOnRoot = onRoot;
    }

    /** Opens or replaces the watch if needed; closes it if this daemon is not a watcher. */
    void onTimer(boolean isWatcher) {
        long nowNs = mScheduler.monotonicNs();
        if (!isWatcher) {
            stop();
            return;
        }
        boolean silent = nowNs - mLastEventNs > MAX_SILENCE.toNanos();
        if (mWatch.isPresent() && silent) {
            mReplacedCount++;
        }
        if (silent || nowNs - mLastListNs > RELIST_PERIOD.toNanos()) {
            stop();
        }
        if (mWatch.isEmpty() && !mListing && nowNs >= mRetryAtNs) {
            list();
        }
    }

    /** Returns the number of watches that were replaced because they were silent. */
    long replacedCount() {
        return mReplacedCount;
    }

    void stop() {
        mWatchNumber++;
        mListing = false;
        mWatch.ifPresent(Watch::close);
        mWatch = Optional.empty();
    }

    private void list() {
        long watchNumber = ++mWatchNumber;
        mListing = true;
        mLastEventNs = mScheduler.monotonicNs();
        mLastListNs = mLastEventNs;
        mStore.store()
                .list(ConfigurationStore.ROOT_KEY)
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                if (watchNumber == mWatchNumber) {
                                    onListed(watchNumber, result);
                                }
                            }
                        });
    }

    private void onListed(long watchNumber, ListResult result) {
        mListing = false;
        if (!(result instanceof ListResult.Listed listed)) {
            backOff();
            return;
        }
        mBackoff = MIN_BACKOFF;
        mLastEventNs = mScheduler.monotonicNs();
        listed.objects().forEach(this::notifyRoot);
        mWatch =
                Optional.of(
                        mStore.store()
                                .watch(
                                        ConfigurationStore.ROOT_KEY,
                                        listed.revision(),
                                        new Listener(watchNumber)));
    }

    private void backOff() {
        long jitterNs = mRandom.nextLong(mBackoff.toNanos());
        mRetryAtNs = mScheduler.monotonicNs() + mBackoff.toNanos() / 2 + jitterNs;
        Duration next = mBackoff.multipliedBy(2);
        mBackoff = next.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : next;
    }

    private void notifyRoot(StoredObject object) {
        if (!object.key().equals(ConfigurationStore.ROOT_KEY)) {
            return;
        }
        ConfigurationStore.parseRoot(object.value()).ifPresent(mOnRoot);
    }

    /** Listener of one watch; ignores events that arrive after the watch was replaced. */
    private final class Listener implements WatchListener {
        private final long mListenerNumber;

        Listener(long watchNumber) {
            mListenerNumber = watchNumber;
        }

        private void handleEvent(Runnable event) {
            synchronized (mLock) {
                if (mListenerNumber == mWatchNumber) {
                    mLastEventNs = mScheduler.monotonicNs();
                    event.run();
                }
            }
        }

        @Override
        public void onWritten(StoredObject object) {
            handleEvent(() -> notifyRoot(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            handleEvent(() -> {});
        }

        @Override
        public void onProgress(long revision) {
            handleEvent(() -> {});
        }

        @Override
        public void onEnded(String reason) {
            handleEvent(
                    () -> {
                        stop();
                        backOff();
                    });
        }
    }
}
