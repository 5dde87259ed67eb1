package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that use up the retry budget of all others, or lose a partial answer,
 * while no chain is available.
 */
class NoCapacityTest {
    @Test
    void eachMissingChainCountsAsAnAttempt() {
        RequestFixture fixture = new RequestFixture(new InMemoryClaims());
        fixture.mNoCapacity = true;
        RecordingSink sink = new RecordingSink();
        fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        fixture.mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(List.of(1, 2, 3, 4, 5), fixture.mRetries.mAttempts);
        Outcome.NotRun outcome = assertInstanceOf(Outcome.NotRun.class, sink.outcome());
        assertEquals(RefusalReason.NO_CAPACITY, outcome.reason());
    }

    /** A stage fails in the middle of an answer, and no replacement is available for a while. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 15, 40})
    void partialAnswerWaitsForAChain(int seconds) {
        RequestFixture fixture = new RequestFixture(new InMemoryClaims());
        RecordingSink sink = new RecordingSink();
        fixture.mUpstreams.setScript(
                call -> {
                    fixture.mNoCapacity = call.attempt() == 1;
                    return call.attempt() == 1
                            ? new Script(Step.MID_STREAM, Fault.STAGE_FAILURE)
                            : Script.NONE;
                });
        fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        fixture.mScheduler.advance(Duration.ofSeconds(seconds));
        fixture.mNoCapacity = false;
        fixture.mScheduler.advance(Duration.ofSeconds(10));
        if (seconds < RequestSettings.defaults().maxCapacityWait().toSeconds()) {
            assertInstanceOf(Outcome.Answered.class, sink.outcome());
            assertEquals(RequestFixture.fullAnswer("r"), sink.text());
            assertEquals(List.of(1), fixture.mRetries.mAttempts);
        } else {
            assertInstanceOf(Outcome.Interrupted.class, sink.outcome());
        }
    }
}
