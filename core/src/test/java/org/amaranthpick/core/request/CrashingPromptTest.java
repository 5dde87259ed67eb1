package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;
import org.junit.jupiter.api.Test;

/** Prompts with a certain beginning end every stage that they are sent to. */
class CrashingPromptTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final int REQUESTS = 12;

    /** Five lost stages show what the requests have in common; three more are tolerated. */
    private static final int MAX_LOST_STAGES = 8;

    private static final String COMMON = "common ".repeat(40);
    private static final String CRASHING = COMMON + "crashing ".repeat(40);
    private static final String SOUND = COMMON + "sound ".repeat(40);

    private final RequestFixture mFixture = new RequestFixture(new InMemoryClaims());

    private Outcome send(String requestId, String prompt) {
        RecordingSink sink = new RecordingSink();
        mFixture.mRetries.mRetriesLeft = 2;
        mFixture.mRouter.submit(
                mFixture.request(
                        requestId, prompt + requestId, true, Optional.empty(), Optional.empty()),
                sink);
        mFixture.mScheduler.advance(SETTLE_TIME);
        return sink.outcome();
    }

    @Test
    void doesNotSendPromptsThatEndStagesToOneStageAfterTheOther() {
        mFixture.mUpstreams.setScript(
                call ->
                        call.prompt().startsWith(CRASHING)
                                ? new Script(Step.AFTER_SEND, Fault.STAGE_FAILURE)
                                : Script.NONE);
        for (int i = 0; i < REQUESTS; i++) {
            send("crashing-" + i, CRASHING);
            assertInstanceOf(Outcome.Answered.class, send("sound-" + i, SOUND));
        }
        int lost = mFixture.mUpstreams.calls().size() - REQUESTS;
        assertTrue(lost <= MAX_LOST_STAGES, lost + " stages were lost");
        Outcome last = send("last", CRASHING);
        assertEquals(
                RefusalReason.UPSTREAM_REFUSED,
                assertInstanceOf(Outcome.NotRun.class, last).reason());
    }
}
