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

/** A request without a chain must not eat the retry budget of all others. */
class NoCapacityTest {
    @Test
    void eachTryWithoutAChainCountsAsAnAttempt() {
        RequestFixture fixture = new RequestFixture(new MapClaims());
        fixture.mNoCapacity = true;
        RecordingSink sink = new RecordingSink();
        fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        fixture.mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(List.of(1, 2, 3, 4, 5), fixture.mRetries.mAttempts);
        Outcome.NotRun outcome = assertInstanceOf(Outcome.NotRun.class, sink.outcome());
        assertEquals(RefusalReason.NO_CAPACITY, outcome.reason());
    }

    /** A stage dies mid-answer and nothing replaces it for a while. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 15, 40})
    void answerHalfGivenWaitsForAChain(int seconds) {
        RequestFixture fixture = new RequestFixture(new MapClaims());
        RecordingSink sink = new RecordingSink();
        fixture.mUpstreams.script(
                call -> {
                    fixture.mNoCapacity = call.attempt() == 1;
                    return call.attempt() == 1
                            ? new Script(Step.MID_STREAM, Fault.STAGE_DEATH)
                            : Script.NONE;
                });
        fixture.mRouter.submit(fixture.request("r", true, Optional.empty()), sink);
        fixture.mScheduler.advance(Duration.ofSeconds(seconds));
        fixture.mNoCapacity = false;
        fixture.mScheduler.advance(Duration.ofSeconds(10));
        if (seconds < RequestSettings.defaults().capacityPatience().toSeconds()) {
            assertInstanceOf(Outcome.Answered.class, sink.outcome());
            assertEquals(RequestFixture.wholeText("r"), sink.text());
            assertEquals(List.of(1), fixture.mRetries.mAttempts);
        } else {
            assertInstanceOf(Outcome.Interrupted.class, sink.outcome());
        }
    }
}
