package org.amaranthpick.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.amaranthpick.core.time.VirtualScheduler;

/**
 * A daemon's client of a store whose only object changes at given times, with a pool of connections
 * that go silent at a given time.
 */
public final class SimulatedStore implements ObjectStore {
    private static final long TRIP_MS = 10;
    public final VirtualScheduler mScheduler;
    public final WatchPacing mPacing;
    public long mSilentMs = Long.MAX_VALUE;
    public long mCutMs = Long.MAX_VALUE;
    public long mAckMs = Long.MAX_VALUE;
    public long mInForce;
    public int mCalls;
    private final List<Long> mChangesMs;
    private final Deque<Long> mIdleOpenedMs = new ArrayDeque<>();

    public SimulatedStore(
            VirtualScheduler scheduler, FollowTimings timings, int daemons, List<Long> changesMs) {
        mScheduler = scheduler;
        mChangesMs = changesMs;
        mPacing = new WatchPacing(timings);
        mPacing.setDaemonCount(daemons);
    }

    /** Follows the object through a store that may decorate this one. */
    public void follow(ObjectStore store, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        new StoreFollower(store, "k/", mScheduler, Runnable::run, random, new Sink()).start();
    }

    public void advanceTo(long timeMs) {
        mScheduler.advance(Duration.ofMillis(timeMs - nowMs()));
    }

    public long nowMs() {
        return mScheduler.monotonicNs() / 1_000_000;
    }

    public long revisionAt(long timeMs) {
        return mChangesMs.stream().filter(changeMs -> changeMs <= timeMs).count()
                + (mAckMs <= timeMs ? 1 : 0);
    }

    /** First change after a revision, or a time if none comes until then. */
    long nextChangeMs(long revision, long timeMs) {
        long foundMs = nowMs();
        while (foundMs < timeMs && revisionAt(foundMs) <= revision) {
            foundMs += TRIP_MS;
        }
        return foundMs;
    }

    /** Makes a call that the store answers after a time; the result is -1 after a timeout. */
    void call(long answeredMs, Duration timeout, LongConsumer then) {
        mCalls++;
        boolean fresh = mIdleOpenedMs.isEmpty();
        long openedMs = fresh ? nowMs() : mIdleOpenedMs.pollLast();
        long doneMs = answeredMs + (fresh ? 4 : 2) * TRIP_MS;
        if ((openedMs <= mSilentMs && doneMs > mSilentMs) || doneMs > mCutMs) {
            mScheduler.schedule(
                    timeout,
                    () -> {
                        mIdleOpenedMs.clear();
                        then.accept(-1);
                    });
            return;
        }
        mScheduler.schedule(
                Duration.ofMillis(doneMs - nowMs()),
                () -> {
                    mIdleOpenedMs.addLast(openedMs);
                    then.accept(revisionAt(doneMs - TRIP_MS));
                });
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        CompletableFuture<ListResult> result = new CompletableFuture<>();
        call(
                nowMs(),
                mPacing.timings().callTimeout(),
                revision ->
                        result.complete(
                                revision < 0
                                        ? new ListResult.Unavailable("silent")
                                        : new ListResult.Listed(
                                                List.of(object(revision)), revision)));
        return result;
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        boolean[] closed = {false};
        long nowNs = mScheduler.monotonicNs();
        poll(afterRevision, nowNs, nowNs, listener, closed);
        return () -> closed[0] = true;
    }

    private void poll(
            long after,
            long responseNs,
            long lastChangesNs,
            WatchListener listener,
            boolean[] closed) {
        if (closed[0]) {
            return;
        }
        Duration wait = mPacing.timings().pollWait(since(responseNs));
        call(
                nextChangeMs(after, nowMs() + wait.toMillis()),
                wait.plus(mPacing.timings().overdue()),
                revision -> {
                    long nowNs = mScheduler.monotonicNs();
                    if (closed[0]) {
                        return;
                    }
                    if (revision < 0) {
                        listener.onEnded("silent");
                    } else if (revision == after) {
                        listener.onProgress(revision);
                        poll(revision, nowNs, lastChangesNs, listener, closed);
                    } else {
                        listener.onWritten(object(revision));
                        listener.onProgress(revision);
                        mScheduler.schedule(
                                mPacing.batchingDelay(since(lastChangesNs)),
                                () -> poll(revision, nowNs, nowNs, listener, closed));
                    }
                });
    }

    private Duration since(long timeNs) {
        return Duration.ofNanos(mScheduler.monotonicNs() - timeNs);
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long era() {
        return 0;
    }

    @Override
    public void replaceIdleConnections() {
        mIdleOpenedMs.clear();
    }

    @Override
    public void close() {}

    private static StoredObject object(long revision) {
        return new StoredObject("k/a", revision, new byte[0], Optional.empty());
    }

    private final class Sink implements StoreFollower.Sink {
        @Override
        public void onList(List<StoredObject> objects) {
            objects.forEach(this::onWritten);
        }

        @Override
        public void onWritten(StoredObject object) {
            mInForce = object.version();
        }

        @Override
        public void onDeleted(String key) {
            throw new AssertionError(key);
        }
    }
}
