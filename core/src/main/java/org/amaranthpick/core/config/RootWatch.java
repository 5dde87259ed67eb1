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
 * Watch of the stored root. A watch that is silent is replaced and the root listed again. Guarded
 * by the lock of the service.
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
    private final Consumer<ConfigurationRoot> mTold;
    private Optional<Watch> mWatch = Optional.empty();
    private Duration mBackoff = MIN_BACKOFF;
    private long mRun;
    private long mHeardNs;
    private long mListedNs;
    private long mRetryNs;
    private boolean mListing;
    private long mReplaced;

    RootWatch(
            Object lock,
            ConfigurationStore store,
            Scheduler scheduler,
            RandomGenerator random,
            Consumer<ConfigurationRoot> told) {
        mLock = lock;
        mStore = store;
        mScheduler = scheduler;
        mRandom = random;
        mTold = told;
    }

    /** Keeps the watch running if this daemon watches, or ends it. */
    void step(boolean wanted) {
        long nowNs = mScheduler.monotonicNs();
        if (!wanted) {
            stop();
            return;
        }
        boolean silent = nowNs - mHeardNs > MAX_SILENCE.toNanos();
        if (mWatch.isPresent() && silent) {
            mReplaced++;
        }
        if (silent || nowNs - mListedNs > RELIST_PERIOD.toNanos()) {
            stop();
        }
        if (mWatch.isEmpty() && !mListing && nowNs >= mRetryNs) {
            list();
        }
    }

    /** Counts the watches replaced because they were silent. */
    long replaced() {
        return mReplaced;
    }

    void stop() {
        mRun++;
        mListing = false;
        mWatch.ifPresent(Watch::close);
        mWatch = Optional.empty();
    }

    private void list() {
        long run = ++mRun;
        mListing = true;
        mHeardNs = mScheduler.monotonicNs();
        mListedNs = mHeardNs;
        mStore.store()
                .list(ConfigurationStore.ROOT_KEY)
                .thenAccept(
                        result -> {
                            synchronized (mLock) {
                                if (run == mRun) {
                                    onListed(run, result);
                                }
                            }
                        });
    }

    private void onListed(long run, ListResult result) {
        mListing = false;
        if (!(result instanceof ListResult.Listed listed)) {
            backOff();
            return;
        }
        mBackoff = MIN_BACKOFF;
        mHeardNs = mScheduler.monotonicNs();
        listed.objects().forEach(this::tell);
        mWatch =
                Optional.of(
                        mStore.store()
                                .watch(
                                        ConfigurationStore.ROOT_KEY,
                                        listed.revision(),
                                        new Listener(run)));
    }

    private void backOff() {
        long jitterNs = mRandom.nextLong(mBackoff.toNanos());
        mRetryNs = mScheduler.monotonicNs() + mBackoff.toNanos() / 2 + jitterNs;
        Duration next = mBackoff.multipliedBy(2);
        mBackoff = next.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : next;
    }

    private void tell(StoredObject object) {
        if (!object.key().equals(ConfigurationStore.ROOT_KEY)) {
            return;
        }
        ConfigurationStore.parseRoot(object.value()).ifPresent(mTold);
    }

    /** Listener of one run of the watch; events of earlier runs are ignored. */
    private final class Listener implements WatchListener {
        private final long mOwnRun;

        Listener(long run) {
            mOwnRun = run;
        }

        private void hear(Runnable event) {
            synchronized (mLock) {
                if (mOwnRun == mRun) {
                    mHeardNs = mScheduler.monotonicNs();
                    event.run();
                }
            }
        }

        @Override
        public void onWritten(StoredObject object) {
            hear(() -> tell(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            hear(() -> {});
        }

        @Override
        public void onProgress(long revision) {
            hear(() -> {});
        }

        @Override
        public void onEnded(String reason) {
            hear(
                    () -> {
                        stop();
                        backOff();
                    });
        }
    }
}
