package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tokens out of order or lost outcomes when frames, pauses and a cancellation of one
 * request arrive on different threads.
 */
class ConcurrentEventsTest {
    private static final int ROUNDS = 200;
    private static final int TOKENS = 16;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callerSeesTokensInOrderUnderConcurrentEvents(boolean cancels) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            for (int round = 0; round < ROUNDS; round++) {
                run(threads, cancels);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static void run(ExecutorService threads, boolean cancels) throws Exception {
        CompletableFuture<TokenListener> stream = new CompletableFuture<>();
        CompletableFuture<GenerateCall> call = new CompletableFuture<>();
        Invariants invariants = new Invariants();
        VirtualScheduler time = new VirtualScheduler(RequestFixture.START);
        RequestFixture fixture =
                new RequestFixture(
                        new InMemoryClaims(),
                        time,
                        new NoTimers(),
                        new CapturingUpstreams(time, call, stream),
                        invariants);
        RecordingSink sink = new RecordingSink();
        RequestHandle handle =
                fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        List<Future<?>> tasks =
                List.of(
                        threads.submit(() -> deliverAnswer(call.join(), stream.join())),
                        threads.submit(() -> pauseAndCancel(handle, cancels)));
        for (Future<?> task : tasks) {
            task.get();
        }
        assertEquals(0, invariants.total());
        assertEquals(0, fixture.mRouter.requestsInProgress());
        if (sink.outcome() instanceof Outcome.Answered) {
            assertEquals(TOKENS, sink.tokens());
        } else {
            assertTrue(cancels);
            assertInstanceOf(Outcome.Interrupted.class, sink.outcome());
        }
    }

    private static void deliverAnswer(GenerateCall call, TokenListener listener) {
        listener.onSending();
        for (int i = 0; i < TOKENS; i++) {
            listener.onToken(
                    new TokenFrame(
                            "r",
                            1,
                            i,
                            "t",
                            call.chain().hops().stream().map(Hop::layers).toList()));
        }
        listener.onEnd(new StreamEnd.Finished("length", TOKENS));
    }

    private static void pauseAndCancel(RequestHandle handle, boolean cancels) {
        for (int i = 0; i < TOKENS; i++) {
            handle.pause();
            handle.resume();
        }
        if (cancels) {
            handle.cancel();
        }
    }

    /** Scheduler with a constant clock and timers that never fire. */
    private static final class NoTimers implements Scheduler {
        @Override
        public Instant instant() {
            return RequestFixture.START;
        }

        @Override
        public long monotonicNs() {
            return 0;
        }

        @Override
        public Cancellable schedule(Duration delay, Runnable task) {
            return () -> {};
        }
    }
}
