package org.amaranthpick.core.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.TaskGuard;

/**
 * Follows the objects under a prefix until closed: lists them, watches them, and lists them again
 * when the watch ends. Retries with exponential backoff and jitter while the store is unavailable.
 */
public final class StoreFollower implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectStore mStore;
    private final String mPrefix;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final TaskGuard mGuard;
    private final String mTask;
    private final RandomGenerator mRandom;
    private final Sink mSink;
    private Watch mWatch = () -> {};
    private Duration mRetryDelay = MIN_RETRY_DELAY;
    private boolean mStoreAvailable = true;
    private boolean mClosed;
    private int mListNumber;
    private int mWatchedList;
    private OptionalLong mEra = OptionalLong.empty();

    /** Receives the objects and their changes on the executor of the follower. */
    public interface Sink {
        /**
         * Receives a complete list, which is newer than all earlier events.
         *
         * @param objects all objects under the prefix
         */
        void onList(List<StoredObject> objects);

        /**
         * Receives a written object.
         *
         * @param object object as written
         */
        void onWritten(StoredObject object);

        /**
         * Receives a deletion.
         *
         * @param key key of the deleted object
         */
        void onDeleted(String key);

        /** Reports that the store answers again after an outage; called before the next list. */
        default void onStoreAvailable() {}

        /**
         * Reports that the store came back from a copy, so that changes since may be missing in the
         * next list; called before that list.
         */
        default void onStoreRestored() {}
    }

    /**
     * Creates a follower.
     *
     * @param store store of the objects
     * @param prefix prefix of the keys
     * @param scheduler clock and timers
     * @param executor runs all work of the follower, one task at a time
     * @param random source of the jitter
     * @param sink receives the objects and their changes
     */
    public StoreFollower(
            ObjectStore store,
            String prefix,
            Scheduler scheduler,
            Executor executor,
            RandomGenerator random,
            Sink sink) {
        mStore = store;
        mPrefix = prefix;
        mScheduler = scheduler;
        mExecutor = executor;
        mGuard = new TaskGuard(scheduler);
        mTask = "store " + prefix;
        mRandom = random;
        mSink = sink;
    }

    /** Starts to follow the prefix. */
    public void start() {
        mExecutor.execute(this::list);
    }

    @Override
    public void close() {
        mExecutor.execute(
                () -> {
                    mClosed = true;
                    mWatch.close();
                });
    }

    private void list() {
        if (mClosed) {
            return;
        }
        int listNumber = ++mListNumber;
        mGuard.call(
                mTask,
                mExecutor,
                () -> mStore.list(mPrefix),
                result -> onListed(listNumber, result),
                () -> listAgainUnlessWatching(listNumber));
    }

    /** Lists again later if a list has led neither to a watch nor to another list. */
    private void listAgainUnlessWatching(int listNumber) {
        if (!mClosed && listNumber == mListNumber && mWatchedList != listNumber) {
            retryLater();
        }
    }

    private void onListed(int listNumber, ListResult result) {
        if (mClosed || listNumber != mListNumber) {
            return;
        }
        if (result instanceof ListResult.Listed list) {
            if (!mStoreAvailable) {
                mStoreAvailable = true;
                sLogger.atInfo().log("store: regained prefix=%s", mPrefix);
                mGuard.run(mTask, mSink::onStoreAvailable);
            }
            mRetryDelay = MIN_RETRY_DELAY;
            trackEra(StoreRevision.era(list.revision()));
            mGuard.run(mTask, () -> mSink.onList(list.objects()));
            mWatch = mStore.watch(mPrefix, list.revision(), new Listener(listNumber));
            mWatchedList = Math.max(mWatchedList, listNumber);
        } else {
            onUnavailable(((ListResult.Unavailable) result).reason());
        }
    }

    private void trackEra(long era) {
        if (mEra.isPresent() && mEra.getAsLong() != era) {
            sLogger.atWarning().log(
                    "store: restored prefix=%s era=%d before=%d", mPrefix, era, mEra.getAsLong());
            mGuard.run(mTask, mSink::onStoreRestored);
        }
        mEra = OptionalLong.of(era);
    }

    private void onUnavailable(String reason) {
        if (mStoreAvailable) {
            mStoreAvailable = false;
            sLogger.atWarning().log("store: lost prefix=%s reason=\"%s\"", mPrefix, reason);
        }
    }

    private void retryLater() {
        long maxDelayNs = mRetryDelay.toNanos();
        mScheduler.schedule(
                Duration.ofNanos(mRandom.nextLong(maxDelayNs / 2, maxDelayNs + 1)),
                () -> mExecutor.execute(this::list));
        Duration doubled = mRetryDelay.multipliedBy(2);
        mRetryDelay = doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
    }

    private final class Listener implements WatchListener {
        private final int mOwnListNumber;

        Listener(int listNumber) {
            mOwnListNumber = listNumber;
        }

        @Override
        public void onWritten(StoredObject object) {
            runIfCurrent(() -> mSink.onWritten(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            runIfCurrent(() -> mSink.onDeleted(key));
        }

        @Override
        public void onProgress(long revision) {
            // Nothing to do: the store client ends a watch that the store no longer answers.
        }

        @Override
        public void onEnded(String reason) {
            runIfCurrent(
                    () -> {
                        sLogger.atFine().log("store: watch ended prefix=%s %s", mPrefix, reason);
                        list();
                    });
        }

        private void runIfCurrent(Runnable task) {
            mExecutor.execute(
                    () -> {
                        if (!mClosed && mOwnListNumber == mListNumber) {
                            mGuard.run(mTask, task);
                        }
                    });
        }
    }
}
