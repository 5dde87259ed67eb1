package org.amaranthpick.core.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;

/**
 * Follows the objects under a prefix for good: lists, watches, and lists again when the watch ends.
 * Calls are spaced by a growing, jittered wait while the store is out.
 */
public final class StoreFollower implements AutoCloseable {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration FIRST_WAIT = Duration.ofMillis(100);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final ObjectStore mStore;
    private final String mPrefix;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final RandomGenerator mRandom;
    private final Sink mSink;
    private Watch mWatch = () -> {};
    private Duration mWait = FIRST_WAIT;
    private boolean mInTouch = true;
    private boolean mClosed;
    private int mRound;

    /** Takes what is followed, on the follower's executor. */
    public interface Sink {
        /**
         * Takes a whole list, newer than all that came before.
         *
         * @param objects all objects under the prefix
         */
        void onList(List<StoredObject> objects);

        /**
         * Takes one object written.
         *
         * @param object the object
         */
        void onWritten(StoredObject object);

        /**
         * Takes one deletion.
         *
         * @param key key of the object
         */
        void onDeleted(String key);

        /** The store answers again after it did not. Told before the next list. */
        default void onRegained() {}
    }

    /**
     * Creates a follower.
     *
     * @param store the store
     * @param prefix start of the keys
     * @param scheduler clocks and timers
     * @param executor runs everything the follower does, one task at a time
     * @param random source of the jitter
     * @param sink takes what is followed
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
        mRandom = random;
        mSink = sink;
    }

    /** Starts to follow. */
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
        int round = ++mRound;
        CompletionStage<ListResult> listed = mStore.list(mPrefix);
        listed.thenAccept(result -> mExecutor.execute(() -> onListed(round, result)));
    }

    private void onListed(int round, ListResult result) {
        if (mClosed || round != mRound) {
            return;
        }
        if (result instanceof ListResult.Listed list) {
            if (!mInTouch) {
                mInTouch = true;
                sLogger.atInfo().log("store: regained prefix=%s", mPrefix);
                mSink.onRegained();
            }
            mWait = FIRST_WAIT;
            mSink.onList(list.objects());
            mWatch = mStore.watch(mPrefix, list.revision(), new Listener(round));
        } else {
            lost(((ListResult.Unavailable) result).reason());
        }
    }

    private void lost(String reason) {
        if (mInTouch) {
            mInTouch = false;
            sLogger.atWarning().log("store: lost prefix=%s reason=\"%s\"", mPrefix, reason);
        }
        long boundNs = mWait.toNanos();
        mScheduler.schedule(
                Duration.ofNanos(mRandom.nextLong(boundNs / 2, boundNs + 1)),
                () -> mExecutor.execute(this::list));
        Duration doubled = mWait.multipliedBy(2);
        mWait = doubled.compareTo(LONGEST_WAIT) < 0 ? doubled : LONGEST_WAIT;
    }

    private final class Listener implements WatchListener {
        private final int mOwnRound;

        Listener(int round) {
            mOwnRound = round;
        }

        @Override
        public void onWritten(StoredObject object) {
            run(() -> mSink.onWritten(object));
        }

        @Override
        public void onDeleted(String key, long revision) {
            run(() -> mSink.onDeleted(key));
        }

        @Override
        public void onProgress(long revision) {
            // Silence is bounded by the store client, which ends a watch without an answer.
        }

        @Override
        public void onEnded(String reason) {
            run(
                    () -> {
                        sLogger.atFine().log("store: watch ended prefix=%s %s", mPrefix, reason);
                        list();
                    });
        }

        private void run(Runnable task) {
            mExecutor.execute(
                    () -> {
                        if (!mClosed && mOwnRound == mRound) {
                            task.run();
                        }
                    });
        }
    }
}
