package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against outcomes that contradict what ran: injects every fault at every step for every
 * kind of request and compares the outcome with the runs counted by the fake upstreams.
 */
class RequestFaultsTest {
    private static final Duration SETTLE_TIME = Duration.ofMinutes(2);
    private static final String ID = "r";

    /** Faults that leave the answer complete without another attempt. */
    private static final Set<Fault> HARMLESS =
            Set.of(
                    Fault.NONE,
                    Fault.LATE_FRAMES,
                    Fault.DUPLICATE_FRAMES,
                    Fault.FOREIGN_FRAMES,
                    Fault.SWAPPED_FRAMES);

    /** Faults after which the attempt has not run. */
    private static final Set<Fault> FAULTS_BEFORE_RUNNING = Set.of(Fault.NOT_SENT, Fault.REFUSED);

    enum Kind {
        IDEMPOTENT,
        KEYED,
        UNKEYED
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Step step : Step.values()) {
            for (Fault fault : Fault.values()) {
                for (Kind kind : Kind.values()) {
                    if (isPossible(step, fault)) {
                        cases.add(Arguments.of(step, fault, kind));
                    }
                }
            }
        }
        return cases.stream();
    }

    private static boolean isPossible(Step step, Fault fault) {
        boolean beforeFirstToken = step == Step.BEFORE_SEND || step == Step.AFTER_SEND;
        if (fault == Fault.NOT_SENT) {
            return step == Step.BEFORE_SEND;
        }
        return fault != Fault.REFUSED || beforeFirstToken;
    }

    @ParameterizedTest
    @MethodSource("cases")
    void outcomeMatchesWhatRanWhenOneAttemptFails(Step step, Fault fault, Kind kind) {
        Run run = run(kind, step, fault, 1);
        boolean faulted = takesEffect(step, fault);
        boolean mayRepeat = kind == Kind.IDEMPOTENT || FAULTS_BEFORE_RUNNING.contains(fault);
        if (!faulted || mayRepeat) {
            run.assertAnswered();
        } else {
            run.assertInterrupted();
        }
        run.assertConsistent(kind);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void outcomeMatchesWhatRanWhenEveryAttemptFails(Step step, Fault fault, Kind kind) {
        Run run = run(kind, step, fault, Integer.MAX_VALUE);
        if (!takesEffect(step, fault)) {
            run.assertAnswered();
        } else if (FAULTS_BEFORE_RUNNING.contains(fault)) {
            run.assertNotRun();
        } else if (run.mSink.outcome() instanceof Outcome.Answered) {
            assertEquals(Kind.IDEMPOTENT, kind);
            run.assertAnswered();
        } else {
            run.assertInterrupted();
        }
        run.assertConsistent(kind);
    }

    @Test
    void retryAfterSendingIsDetected() {
        Run run = new Run();
        run.mFixture.mUpstreams.mReportsSentAsNotSent = true;
        run.mFixture.mUpstreams.setScript(
                call ->
                        call.attempt() == 1
                                ? new Script(Step.AFTER_SEND, Fault.STAGE_FAILURE)
                                : Script.NONE);
        ModelRequest request = run.mFixture.request(ID, false, Optional.of("k"));
        run.mFixture.mRouter.submit(request, run.mSink);
        run.mFixture.mScheduler.advance(SETTLE_TIME);
        assertThrows(AssertionError.class, () -> run.assertConsistent(Kind.KEYED));
    }

    private static boolean takesEffect(Step step, Fault fault) {
        if (HARMLESS.contains(fault) || step == Step.AFTER_DONE) {
            return false;
        }
        boolean beforeFirstToken = step == Step.BEFORE_SEND || step == Step.AFTER_SEND;
        return !beforeFirstToken || !Set.of(Fault.LOST_FRAME, Fault.WRONG_TRACE).contains(fault);
    }

    private static Run run(Kind kind, Step step, Fault fault, int failingAttempts) {
        Run run = new Run();
        run.mFixture.mUpstreams.setScript(
                call -> call.attempt() <= failingAttempts ? new Script(step, fault) : Script.NONE);
        Optional<String> key = kind == Kind.KEYED ? Optional.of("k") : Optional.empty();
        run.mFixture.mRouter.submit(
                run.mFixture.request(ID, kind == Kind.IDEMPOTENT, key), run.mSink);
        run.mFixture.mScheduler.advance(SETTLE_TIME);
        return run;
    }

    /** Completed request with its router and claims. */
    private static final class Run {
        private final InMemoryClaims mClaims = new InMemoryClaims();
        private final RequestFixture mFixture = new RequestFixture(mClaims);
        private final RecordingSink mSink = new RecordingSink();

        void assertAnswered() {
            Outcome.Answered answered = assertInstanceOf(Outcome.Answered.class, mSink.outcome());
            assertEquals(RequestFixture.fullAnswer(ID), mSink.text());
            assertEquals(FakeUpstreams.TOKENS, answered.tokens());
        }

        void assertInterrupted() {
            Outcome.Interrupted interrupted =
                    assertInstanceOf(Outcome.Interrupted.class, mSink.outcome());
            assertEquals(mSink.tokens(), interrupted.tokens());
        }

        void assertNotRun() {
            Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, mSink.outcome());
            assertTrue(notRun.retryAfter().isPresent());
            assertEquals(0, mFixture.mUpstreams.runs(ID));
        }

        void assertConsistent(Kind kind) {
            assertTrue(kind == Kind.IDEMPOTENT || mFixture.mUpstreams.runs(ID) <= 1);
            assertEquals(0, mFixture.mInvariants.total());
            assertEquals(0, mFixture.mRouter.requestsInProgress());
            assertEquals(0, mFixture.mAdmission.mHeldPermits);
            assertEquals(0, mFixture.mFeedback.mChainsInUse);
            assertTrue(RequestFixture.fullAnswer(ID).startsWith(mSink.text()));
            if (kind == Kind.KEYED) {
                assertClaimMatchesOutcome();
            }
        }

        private void assertClaimMatchesOutcome() {
            ClaimKey key = new ClaimKey(mFixture.mWorkspace.id(), "k");
            ClaimResult claim = mClaims.mStates.get(key);
            Outcome outcome = mSink.outcome();
            if (outcome instanceof Outcome.Answered) {
                assertEquals(mSink.text(), ((ClaimResult.Completed) claim).answer().body());
            } else if (outcome instanceof Outcome.Interrupted) {
                assertInstanceOf(ClaimResult.OutcomeUnknown.class, claim);
            } else {
                assertEquals(null, claim);
            }
        }
    }
}
