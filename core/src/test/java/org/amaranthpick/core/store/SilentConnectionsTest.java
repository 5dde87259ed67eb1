package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays every moment at which the open connections go silent against every moment at which the
 * store acknowledges a change from then on.
 */
class SilentConnectionsTest {
    private static final long STEP_MS = 50;
    private static final long TRIP_MS = 10;
    private static final long WARM_MS = 5000;

    /** Changes during which the connections go silent, so that some fall into the batching. */
    private static final List<Long> CHANGES_MS = List.of(5900L, 6100L, 6700L, 7600L, 8300L);

    @ParameterizedTest
    @CsvSource({
        "2000,3000,12",
        "3000,4000,140",
        "4000,5000,440",
        "2000,2000,440",
        "3000,3000,440",
        "4000,2000,440"
    })
    void aChangeIsInForceWithinTheLongerOfBothBounds(
            long maxChangeDelayMs, long stableWindowMs, int daemons) {
        for (long silentMs = WARM_MS; silentMs <= WARM_MS + 8000; silentMs += STEP_MS) {
            for (long ackMs = silentMs; ackMs <= silentMs + stableWindowMs; ackMs += STEP_MS) {
                Site site = new Site(maxChangeDelayMs, stableWindowMs, daemons);
                site.mSilentMs = silentMs;
                site.mAckMs = ackMs;
                site.advanceTo(Math.max(silentMs + stableWindowMs, ackMs + maxChangeDelayMs));
                assertTrue(
                        site.mInForce >= site.revisionAt(ackMs),
                        "silent at %d, acknowledged at %d".formatted(silentMs, ackMs));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"2000,3000,52", "3000,4000,36", "4000,5000,28"})
    void twoCalmMinutesCostOneCallForEachProof(
            long maxChangeDelayMs, long stableWindowMs, int calls) {
        Site site = new Site(maxChangeDelayMs, stableWindowMs, 12);
        site.advanceTo(60_000);
        int before = site.mCalls;
        site.advanceTo(180_000);
        assertEquals(calls, site.mCalls - before);
    }

    /** One daemon that follows a store with a pool of connections, as the store's client does. */
    private static final class Site implements ObjectStore {
        final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
        final Deque<Long> mIdleOpenedMs = new ArrayDeque<>();
        final WatchPacing mPacing;
        long mSilentMs = Long.MAX_VALUE;
        long mAckMs = Long.MAX_VALUE;
        long mInForce;
        int mCalls;

        Site(long maxChangeDelayMs, long stableWindowMs, int daemons) {
            mPacing =
                    new WatchPacing(
                            FollowTimings.of(
                                    Duration.ofMillis(maxChangeDelayMs),
                                    Duration.ofMillis(stableWindowMs)));
            mPacing.setDaemonCount(daemons);
            SplittableRandom random = new SplittableRandom(1);
            new StoreFollower(this, "k/", mScheduler, Runnable::run, random, new Sink()).start();
        }

        void advanceTo(long timeMs) {
            mScheduler.advance(Duration.ofMillis(timeMs - nowMs()));
        }

        long nowMs() {
            return mScheduler.monotonicNs() / 1_000_000;
        }

        long revisionAt(long timeMs) {
            return CHANGES_MS.stream().filter(changeMs -> changeMs <= timeMs).count()
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
            if (openedMs <= mSilentMs && doneMs > mSilentMs) {
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
            poll(afterRevision, mScheduler.monotonicNs(), mScheduler.monotonicNs(), listener);
            return () -> {};
        }

        private void poll(long after, long responseNs, long lastChangesNs, WatchListener listener) {
            Duration wait = mPacing.timings().pollWait(since(responseNs));
            call(
                    nextChangeMs(after, nowMs() + wait.toMillis()),
                    wait.plus(mPacing.timings().overdue()),
                    revision -> {
                        long nowNs = mScheduler.monotonicNs();
                        if (revision < 0) {
                            listener.onEnded("silent");
                        } else if (revision == after) {
                            poll(revision, nowNs, lastChangesNs, listener);
                        } else {
                            listener.onWritten(object(revision));
                            mScheduler.schedule(
                                    mPacing.batchingDelay(since(lastChangesNs)),
                                    () -> poll(revision, nowNs, nowNs, listener));
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
}
