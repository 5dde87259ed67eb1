package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.amaranthpick.core.admit.AdmissionDecision;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;
import org.amaranthpick.core.route.ChainRequest;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** State changes of single requests on virtual time. */
class RequestLifecycleTest {
    private static final Duration SETTLE_TIME = Duration.ofMinutes(2);
    private static final Duration DETECTION_LIMIT = Duration.ofSeconds(2);
    private static final Duration RESUMPTION_LIMIT = Duration.ofSeconds(1);

    private final InMemoryClaims mClaims = new InMemoryClaims();
    private final RequestFixture mFixture = new RequestFixture(mClaims);
    private final RecordingSink mSink = new RecordingSink();

    private RequestHandle submit(boolean idempotent, Optional<String> key) {
        return mFixture.mRouter.submit(mFixture.request("r", idempotent, key), mSink);
    }

    private void failFirstAttempt(Step step, Fault fault) {
        mFixture.mUpstreams.setScript(
                call -> call.attempt() == 1 ? new Script(step, fault) : Script.NONE);
    }

    private void advance(Duration time) {
        mFixture.mScheduler.advance(time);
    }

    @Test
    void failedStageIsExcludedAndTheAnswerContinuesAtTheNextToken() {
        failFirstAttempt(Step.MID_STREAM, Fault.STAGE_FAILURE);
        submit(true, Optional.empty());
        advance(SETTLE_TIME);
        ChainRequest resumed = mFixture.mChainRequests.get(1);
        assertEquals(1, resumed.emittedTokens());
        assertEquals(
                Optional.of(mFixture.mUpstreams.calls().get(0).chain()), resumed.previousChain());
        assertTrue(
                resumed.excludedUpstreams()
                        .contains(RequestFixture.id(ResourceKind.UPSTREAM, "b0")));
        assertEquals(
                List.of(FakeUpstreams.text("r", 0)), mFixture.mUpstreams.calls().get(1).emitted());
        assertTrue(mFixture.mUpstreams.streams().get(0).isCancelled());
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"AFTER_SEND", "FIRST_TOKEN", "MID_STREAM", "LAST_TOKEN"})
    void silentStageIsDetectedAndTheAnswerResumedInTime(Step step) {
        failFirstAttempt(step, Fault.NO_PROGRESS);
        submit(true, Optional.empty());
        Duration sinceProgress = Duration.ZERO;
        int tokens = 0;
        while (mFixture.mUpstreams.calls().size() < 2) {
            advance(Duration.ofMillis(5));
            sinceProgress = mSink.tokens() == tokens ? sinceProgress.plusMillis(5) : Duration.ZERO;
            tokens = mSink.tokens();
            assertTrue(
                    sinceProgress.compareTo(DETECTION_LIMIT) < 0,
                    "no progress for " + sinceProgress);
        }
        advance(RESUMPTION_LIMIT);
        assertTrue(mSink.tokens() > tokens);
        advance(SETTLE_TIME);
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"MID_STREAM", "LAST_TOKEN"})
    void slowPrefillDoesNotExtendTheTokenTimeout(Step step) {
        mFixture.mPredictedFirstToken = Duration.ofSeconds(5);
        failFirstAttempt(step, Fault.NO_PROGRESS);
        submit(true, Optional.empty());
        advance(FakeUpstreams.TOKEN_TIME.multipliedBy(FakeUpstreams.TOKENS).plus(DETECTION_LIMIT));
        assertEquals(2, mFixture.mUpstreams.calls().size());
    }

    @Test
    void lowPriorityRequestHasALongerTimeout() {
        failFirstAttempt(Step.MID_STREAM, Fault.NO_PROGRESS);
        ModelRequest template = mFixture.request("r", true, Optional.empty());
        mFixture.mRouter.submit(
                new ModelRequest(
                        template.requestId(),
                        template.configuration(),
                        template.workspace(),
                        template.pipeline(),
                        template.prompt(),
                        template.maxTokens(),
                        0,
                        template.deadline(),
                        true,
                        template.idempotencyKey()),
                mSink);
        advance(Duration.ofSeconds(5));
        assertEquals(1, mFixture.mUpstreams.calls().size());
        advance(DETECTION_LIMIT);
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @Test
    void secondTimeoutExcludesTheStageInBothChains() {
        mFixture.mUpstreams.setScript(
                call ->
                        call.attempt() <= 2
                                ? new Script(Step.FIRST_TOKEN, Fault.NO_PROGRESS)
                                : Script.NONE);
        submit(true, Optional.empty());
        advance(SETTLE_TIME);
        assertTrue(
                mFixture.mChainRequests
                        .get(2)
                        .excludedUpstreams()
                        .contains(RequestFixture.id(ResourceKind.UPSTREAM, "b0")));
    }

    @Test
    void framesOfAnOlderAttemptAreDroppedAndCounted() {
        failFirstAttempt(Step.MID_STREAM, Fault.STAGE_FAILURE);
        submit(true, Optional.empty());
        advance(Duration.ofMillis(90));
        assertEquals(2, mFixture.mUpstreams.calls().size());
        mFixture.mUpstreams.streams().get(0).deliverLate(1);
        mFixture.mUpstreams.streams().get(0).deliverLate(2);
        advance(SETTLE_TIME);
        assertEquals(2, mFixture.mRouter.frameCounters().get(FrameVerdict.LATE));
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @Test
    void answerWithAllTokensIsCompleteWithoutItsEndMessage() {
        ModelRequest template = mFixture.request("r", false, Optional.empty());
        ModelRequest request =
                new ModelRequest(
                        template.requestId(),
                        template.configuration(),
                        template.workspace(),
                        template.pipeline(),
                        template.prompt(),
                        FakeUpstreams.TOKENS - 1,
                        template.priority(),
                        template.deadline(),
                        false,
                        Optional.empty());
        failFirstAttempt(Step.LAST_TOKEN, Fault.STAGE_FAILURE);
        mFixture.mRouter.submit(request, mSink);
        advance(SETTLE_TIME);
        Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, mSink.outcome());
        assertEquals("length", answered.finishReason());
        assertEquals(FakeUpstreams.TOKENS - 1, mSink.tokens());
    }

    @Test
    void pausedCallerGetsNoTokensUntilItResumes() {
        RequestHandle handle = submit(true, Optional.empty());
        advance(Duration.ofMillis(60));
        handle.pause();
        int tokens = mSink.tokens();
        assertTrue(mFixture.mUpstreams.streams().get(0).isPaused());
        advance(Duration.ofSeconds(30));
        assertEquals(tokens, mSink.tokens());
        assertEquals(1, mFixture.mUpstreams.calls().size());
        handle.resume();
        advance(SETTLE_TIME);
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @Test
    void requestOfACallerThatPausesTooLongIsInterrupted() {
        RequestHandle handle = submit(true, Optional.empty());
        advance(Duration.ofMillis(60));
        handle.pause();
        advance(SETTLE_TIME);
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        assertTrue(mFixture.mUpstreams.streams().get(0).isCancelled());
        assertEquals(0, mFixture.mAdmission.mHeldPermits);
    }

    @Test
    void pauseAndCancelFromWithinTheSinkKeepTheOrder() {
        CompletableFuture<RequestHandle> handle = new CompletableFuture<>();
        AnswerSink sink =
                new AnswerSink() {
                    @Override
                    public void onToken(int index, String text) {
                        mSink.onToken(index, text);
                        if (index == 1) {
                            handle.join().pause();
                            handle.join().resume();
                        } else if (index == 3) {
                            handle.join().cancel();
                        }
                    }

                    @Override
                    public void onOutcome(Outcome outcome) {
                        mSink.onOutcome(outcome);
                    }
                };
        handle.complete(
                mFixture.mRouter.submit(mFixture.request("r", true, Optional.empty()), sink));
        advance(SETTLE_TIME);
        assertEquals(4, mSink.tokens());
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        assertEquals(0, mFixture.mInvariants.total());
    }

    @Test
    void callerDisconnectCancelsTheUpstreams() {
        RequestHandle handle = submit(true, Optional.empty());
        advance(Duration.ofMillis(60));
        handle.cancel();
        advance(SETTLE_TIME);
        assertTrue(mFixture.mUpstreams.streams().get(0).isCancelled());
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        assertEquals(0, mFixture.mRouter.requestsInProgress());
    }

    @Test
    void keyedRequestContinuesWithoutItsCallerAndTheRepeatGetsTheAnswer() {
        RequestHandle handle = submit(false, Optional.of("k"));
        advance(Duration.ofMillis(60));
        handle.cancel();
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        int tokens = mSink.tokens();
        advance(SETTLE_TIME);
        assertEquals(tokens, mSink.tokens());
        RecordingSink repeat = new RecordingSink();
        mFixture.mRouter.submit(mFixture.request("r2", false, Optional.of("k")), repeat);
        Outcome.Replayed replayed = assertInstanceOf(Outcome.Replayed.class, repeat.outcome());
        assertEquals(RequestFixture.fullAnswer("r"), replayed.text());
        assertEquals(0, mFixture.mRouter.requestsInProgress());
    }

    @Test
    void deadlineEndsAWaitingRequestAsNotRunAndARunningOneAsInterrupted() {
        Instant deadline = RequestFixture.START.plusSeconds(1);
        mFixture.mAdmission.mLeavesPending = true;
        mFixture.mRouter.submit(
                mFixture.request("r", true, Optional.empty(), Optional.of(deadline)), mSink);
        mFixture.mAdmission.mLeavesPending = false;
        mFixture.mUpstreams.setScript(call -> new Script(Step.FIRST_TOKEN, Fault.NO_PROGRESS));
        RecordingSink running = new RecordingSink();
        mFixture.mRouter.submit(
                mFixture.request("s", true, Optional.empty(), Optional.of(deadline)), running);
        advance(Duration.ofMillis(1001));
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, mSink.outcome());
        assertEquals(RefusalReason.DEADLINE_UNREACHABLE, notRun.reason());
        assertInstanceOf(Outcome.Interrupted.class, running.outcome());
    }

    @Test
    void refusedAdmissionIsReportedAsNotRun() {
        mFixture.mAdmission.mRefusal =
                Optional.of(
                        new AdmissionDecision.Refused(
                                RefusalReason.QUEUE_FULL, "full", Optional.of(SETTLE_TIME)));
        submit(true, Optional.empty());
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, mSink.outcome());
        assertEquals(RefusalReason.QUEUE_FULL, notRun.reason());
        assertEquals(Optional.of(SETTLE_TIME), notRun.retryAfter());
    }

    @Test
    void drainRefusesNewRequestsAndInterruptsNone() {
        submit(true, Optional.empty());
        advance(Duration.ofMillis(60));
        CompletableFuture<Void> drained = mFixture.mRouter.drain().toCompletableFuture();
        RecordingSink late = new RecordingSink();
        mFixture.mRouter.submit(mFixture.request("l", true, Optional.empty()), late);
        Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, late.outcome());
        assertEquals(RefusalReason.LEAVING, notRun.reason());
        assertFalse(drained.isDone());
        advance(SETTLE_TIME);
        assertTrue(drained.isDone());
        assertEquals(RequestFixture.fullAnswer("r"), mSink.text());
    }

    @Test
    void interruptAllReportsWhetherEachRequestMayHaveRun() {
        mFixture.mAdmission.mLeavesPending = true;
        RecordingSink waiting = new RecordingSink();
        mFixture.mRouter.submit(mFixture.request("w", true, Optional.empty()), waiting);
        mFixture.mAdmission.mLeavesPending = false;
        submit(true, Optional.empty());
        advance(Duration.ofMillis(60));
        CompletableFuture<Void> drained = mFixture.mRouter.drain().toCompletableFuture();
        mFixture.mRouter.interruptAll("the drain timed out");
        assertInstanceOf(Outcome.NotRun.class, waiting.outcome());
        assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
        assertTrue(drained.isDone());
    }

    @Test
    void everyDecisionOnARequestIsExplained() {
        failFirstAttempt(Step.MID_STREAM, Fault.STAGE_FAILURE);
        submit(true, Optional.empty());
        advance(SETTLE_TIME);
        Approvals.verify(
                mFixture.mTrail.entries("r").stream()
                        .map(entry -> entry.kind().label() + ": " + entry.text())
                        .collect(Collectors.joining("\n")));
    }
}
