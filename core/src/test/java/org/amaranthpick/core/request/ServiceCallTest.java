package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.core.upstream.ServiceReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against service calls that run more than once without being idempotent, or that get an
 * outcome that contradicts what ran.
 */
class ServiceCallTest {
    private static final Duration SETTLE_TIME = Duration.ofMinutes(2);

    private final RequestFixture mFixture = new RequestFixture(new InMemoryClaims());
    private final RecordingSink mSink = new RecordingSink();

    private void failFirstCall(ServiceReply failure) {
        AtomicInteger calls = new AtomicInteger();
        mFixture.mUpstreams.setServiceReply(
                call ->
                        calls.incrementAndGet() == 1
                                ? failure
                                : new ServiceReply.Answered(
                                        201,
                                        Map.of("Content-Type", "text/plain"),
                                        new byte[] {65}));
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT, true, false, Answered, 1",
        "NOT_SENT, false, false, Answered, 1",
        "NOT_SENT, false, true, Answered, 1",
        "LOST, true, false, Answered, 2",
        "LOST, false, false, Interrupted, 1",
        "LOST, false, true, Interrupted, 1",
    })
    void outcomeMatchesWhatRan(
            String failure, boolean idempotent, boolean keyed, String outcome, int runs) {
        failFirstCall(
                failure.equals("LOST")
                        ? new ServiceReply.Lost("reset")
                        : new ServiceReply.NotSent("refused"));
        Optional<String> key = keyed ? Optional.of("k") : Optional.empty();
        mFixture.mRouter.submit(mFixture.serviceRequest("r", idempotent, key), mSink);
        mFixture.mScheduler.advance(SETTLE_TIME);
        assertEquals(outcome, mSink.outcome().getClass().getSimpleName());
        assertEquals(runs, mFixture.mUpstreams.runs("r"));
        assertEquals(0, mFixture.mInvariants.total());
        assertEquals(0, mFixture.mRouter.requestsInProgress());
    }

    @Test
    void callsNeverSentAreReportedAsNotRun() {
        mFixture.mUpstreams.setServiceReply(call -> new ServiceReply.NotSent("refused"));
        mFixture.mRouter.submit(mFixture.serviceRequest("r", false, Optional.empty()), mSink);
        mFixture.mScheduler.advance(SETTLE_TIME);
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, mSink.outcome());
        assertTrue(notRun.retryAfter().isPresent());
    }

    @Test
    void repeatWithTheKeyGetsTheStoredAnswer() {
        failFirstCall(new ServiceReply.NotSent("refused"));
        for (String id : new String[] {"r1", "r2"}) {
            RecordingSink sink = new RecordingSink();
            mFixture.mRouter.submit(mFixture.serviceRequest(id, false, Optional.of("k")), sink);
            mFixture.mScheduler.advance(SETTLE_TIME);
            assertEquals(
                    id.equals("r1") ? Outcome.Answered.class : Outcome.Replayed.class,
                    sink.outcome().getClass());
        }
        assertEquals(1, mFixture.mUpstreams.runs("r1") + mFixture.mUpstreams.runs("r2"));
    }

    @Test
    void callerDisconnectDoesNotLoseTheAnswerOfItsKey() {
        RequestHandle handle =
                mFixture.mRouter.submit(
                        mFixture.serviceRequest("r1", false, Optional.of("k")), mSink);
        mFixture.mScheduler.advance(Duration.ofMillis(1));
        handle.cancel();
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        mFixture.mScheduler.advance(SETTLE_TIME);
        RecordingSink repeat = new RecordingSink();
        mFixture.mRouter.submit(mFixture.serviceRequest("r2", false, Optional.of("k")), repeat);
        assertInstanceOf(Outcome.Replayed.class, repeat.outcome());
    }
}
