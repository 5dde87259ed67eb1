package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.claim.ClaimKey;
import org.amaranthpick.core.claim.ClaimResult;
import org.amaranthpick.core.claim.ClaimSettings;
import org.amaranthpick.core.claim.ClaimTicket;
import org.amaranthpick.core.claim.Claims;
import org.amaranthpick.core.request.FakeUpstreams.Fault;
import org.amaranthpick.core.request.FakeUpstreams.Script;
import org.amaranthpick.core.request.FakeUpstreams.Step;

/**
 * Guards against a keyed request that runs twice or gets a wrong outcome. Callers repeat requests
 * with the same idempotency key through several daemons, while daemons crash, freeze and disagree
 * on the claim owner, and the store and the network fail. The fake upstreams count what ran.
 */
class AtMostOnceTest {
    private static final int OPERATIONS = 12;
    private static final int STEPS = 120;
    private static final Duration MAX_STEP = Duration.ofMillis(400);
    private static final Duration RECOVERY_TIME = Duration.ofMinutes(3);
    private static final Set<String> EVENTS =
            new TreeSet<>(
                    Set.of(
                            "Answered",
                            "Interrupted",
                            "Replayed",
                            "claim_unavailable",
                            "conflict",
                            "key_in_progress",
                            "key_outcome_unknown",
                            "segment",
                            "unknown_write"));

    @Property(tries = 800, seed = "7", shrinking = ShrinkingMode.OFF)
    void keyedRequestRunsAtMostOnceAndOutcomesMatchWhatRan(@ForAll long seed) {
        RandomRun run = new RandomRun(new Random(seed), claims -> claims, false);
        run.performActions();
        run.recover();
        assertEquals(List.of(), run.violations(), "seed " + seed);
        run.assertNewKeysAreServed();
    }

    @Property(tries = 800, seed = "11", shrinking = ShrinkingMode.OFF)
    void noKeyStaysClaimedWithoutAHolder(@ForAll long seed) {
        RandomRun run = new RandomRun(new Random(seed), claims -> claims, false);
        run.mCrashes = false;
        run.performActions();
        run.recover();
        assertEquals(List.of(), run.violations(), "seed " + seed);
        run.assertNoKeyIsStuck(seed);
    }

    @Property(tries = 1, seed = "12")
    void runsCoverEveryKindOfEvent() {
        Set<String> seen = new TreeSet<>();
        for (long seed = 0; seed < 300; seed++) {
            RandomRun run = new RandomRun(new Random(seed), claims -> claims, false);
            run.performActions();
            run.recover();
            run.addEvents(seen);
        }
        assertEquals(EVENTS, seen);
    }

    @Property(tries = 1, seed = "8")
    void storeWithoutCompareAndSetIsDetected() {
        assertTrue(detectsViolation(claims -> claims, true));
    }

    @Property(tries = 1, seed = "9")
    void releaseOfRequestThatMayHaveRunIsDetected() {
        assertTrue(detectsViolation(ReleaseOnLossClaims::new, false));
    }

    @Property(tries = 1, seed = "10")
    void grantWithoutSharedClaimIsDetected() {
        assertTrue(detectsViolation(LocalClaims::new, false));
    }

    private static boolean detectsViolation(
            UnaryOperator<Claims> decorator, boolean ignoresConditions) {
        for (long seed = 0; seed < 60; seed++) {
            RandomRun run = new RandomRun(new Random(seed), decorator, ignoresConditions);
            run.performActions();
            run.recover();
            if (!run.violations().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Submission of an operation through one daemon. */
    private record Submission(String operation, String requestId, RecordingSink sink) {}

    /** Randomized run of a cluster. */
    private static final class RandomRun {
        private final RandomGenerator mRandom;
        private final DaemonCluster mCluster;
        private final List<Submission> mSubmissions = new ArrayList<>();
        private boolean mCrashes = true;

        RandomRun(
                RandomGenerator random,
                UnaryOperator<Claims> decorator,
                boolean ignoresConditions) {
            mRandom = random;
            mCluster = new DaemonCluster(random, settings(), decorator);
            mCluster.mFaultRates.mIgnoresConditions = ignoresConditions;
            mCluster.mUpstreams.setScript(call -> randomScript());
        }

        private static ClaimSettings settings() {
            ClaimSettings defaults = ClaimSettings.defaults();
            return new ClaimSettings(
                    2,
                    defaults.commitInterval(),
                    defaults.maxSettleDelay(),
                    defaults.expiry(),
                    defaults.skewMargin(),
                    150,
                    defaults.maxShardEntries(),
                    60,
                    defaults.acquireTimeout(),
                    defaults.peerTimeout(),
                    defaults.settleTimeout(),
                    defaults.releaseTimeout(),
                    defaults.maxRequestTime(),
                    defaults.maxCopyAge());
        }

        private Script randomScript() {
            Fault[] faults = Fault.values();
            Step[] steps = Step.values();
            return mRandom.nextInt(3) > 0
                    ? Script.NONE
                    : new Script(
                            steps[mRandom.nextInt(steps.length)],
                            faults[mRandom.nextInt(faults.length)]);
        }

        void performActions() {
            mCluster.mNetwork.mMessageFaultProbability = 0.05;
            mCluster.mNetwork.mDelayProbability = 0.05;
            mCluster.mFaultRates.mLostAnswerProbability = 0.15;
            mCluster.mFaultRates.mThrottlingProbability = 0.05;
            for (int i = 0; i < STEPS; i++) {
                applyAction(mRandom.nextInt(20));
                mCluster.mTime.advance(
                        Duration.ofMillis(mRandom.nextInt((int) MAX_STEP.toMillis())));
            }
        }

        private void applyAction(int action) {
            int index = mRandom.nextInt(DaemonCluster.COUNT);
            DaemonCluster.Daemon daemon = mCluster.mDaemons.get(index);
            switch (action) {
                case 0 -> {
                    if (mCrashes) {
                        mCluster.restart(index);
                    }
                }
                case 1 -> daemon.mProcess.freeze(Duration.ofMillis(500 + mRandom.nextInt(9_000)));
                case 2 -> mCluster.mFaultRates.mOutage = mRandom.nextInt(3) == 0;
                case 3, 4 -> daemon.mSeesMember[mRandom.nextInt(DaemonCluster.COUNT)] ^= true;
                default -> submit(index, "op" + mRandom.nextInt(OPERATIONS));
            }
        }

        private Submission submit(int index, String operation) {
            DaemonCluster.Daemon daemon = mCluster.mDaemons.get(index);
            String requestId = "r" + mSubmissions.size();
            Submission submission = new Submission(operation, requestId, new RecordingSink());
            mSubmissions.add(submission);
            ModelRequest request =
                    daemon.mFixture.request(
                            requestId, operation, false, Optional.of(operation), Optional.empty());
            daemon.mProcess.run(
                    () -> {
                        daemon.mFixture.mRouter.submit(request, submission.sink());
                    });
            return submission;
        }

        void recover() {
            mCluster.mNetwork.mMessageFaultProbability = 0;
            mCluster.mNetwork.mDelayProbability = 0;
            mCluster.mFaultRates.mLostAnswerProbability = 0;
            mCluster.mFaultRates.mThrottlingProbability = 0;
            mCluster.mFaultRates.mOutage = false;
            mCluster.mUpstreams.setScript(call -> Script.NONE);
            mCluster.mTime.advance(RECOVERY_TIME);
        }

        /** Returns the violations of the guarantees, empty if all hold. */
        List<String> violations() {
            List<String> violations = new ArrayList<>();
            for (int i = 0; i < OPERATIONS; i++) {
                List<String> runs = mCluster.mUpstreams.runsOfPrompt("op" + i);
                if (runs.size() > 1) {
                    violations.add("op" + i + " ran as " + runs);
                }
            }
            mSubmissions.stream()
                    .filter(s -> s.sink().hasOutcome())
                    .forEach(s -> check(s, violations));
            if (mCluster.mInvariants.total() > 0) {
                violations.add("invariants violated");
            }
            return violations;
        }

        private void check(Submission submission, List<String> violations) {
            Outcome outcome = submission.sink().outcome();
            String id = submission.requestId();
            if (outcome instanceof Outcome.NotRun && mCluster.mUpstreams.runs(id) > 0) {
                violations.add(id + " ran but was reported as " + outcome);
            }
            if (outcome instanceof Outcome.Answered
                    && !submission.sink().text().equals(RequestFixture.fullAnswer(id))) {
                violations.add(id + " was answered with " + submission.sink().text());
            }
            if (outcome instanceof Outcome.Replayed replayed) {
                List<String> runs = mCluster.mUpstreams.runsOfPrompt(submission.operation());
                if (!runs.stream()
                        .map(RequestFixture::fullAnswer)
                        .toList()
                        .contains(replayed.text())) {
                    violations.add(
                            submission
                                    + " got the answer of another operation: "
                                    + replayed.text()
                                    + runs);
                }
            }
        }

        void addEvents(Set<String> seen) {
            for (Submission submission : mSubmissions) {
                if (submission.sink().hasOutcome()) {
                    Outcome outcome = submission.sink().outcome();
                    seen.add(
                            outcome instanceof Outcome.NotRun notRun
                                    ? notRun.reason().label()
                                    : outcome.getClass().getSimpleName());
                }
            }
            for (DaemonCluster.Daemon daemon : mCluster.mDaemons) {
                addIf(daemon.mClaims.counters().conflicts() > 0, "conflict", seen);
                addIf(daemon.mClaims.counters().unknowns() > 0, "unknown_write", seen);
            }
            addIf(mCluster.storedKeys().contains("segment"), "segment", seen);
        }

        private static void addIf(boolean happened, String event, Set<String> seen) {
            if (happened) {
                seen.add(event);
            }
        }

        void assertNoKeyIsStuck(long seed) {
            for (int i = 0; i < OPERATIONS; i++) {
                boolean ran = !mCluster.mUpstreams.runsOfPrompt("op" + i).isEmpty();
                Submission repeat = submit(i % DaemonCluster.COUNT, "op" + i);
                mCluster.mTime.advance(Duration.ofSeconds(20));
                Outcome outcome = repeat.sink().outcome();
                boolean unknown =
                        outcome instanceof Outcome.NotRun notRun
                                && notRun.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN;
                boolean settled = outcome instanceof Outcome.Replayed || unknown;
                boolean served = ran ? settled : outcome instanceof Outcome.Answered;
                assertTrue(served, () -> seed + " " + repeat + " after " + ran + " got " + outcome);
            }
        }

        /** Asserts that after recovery new keys are served and every request has an outcome. */
        void assertNewKeysAreServed() {
            for (int i = 0; i < DaemonCluster.COUNT; i++) {
                Submission first = submit(i, "fresh" + i);
                mCluster.mTime.advance(Duration.ofSeconds(20));
                assertTrue(
                        first.sink().hasOutcome()
                                && first.sink().outcome() instanceof Outcome.Answered,
                        () -> "new key got " + first.sink().outcome());
                Submission repeat = submit((i + 1) % DaemonCluster.COUNT, "fresh" + i);
                mCluster.mTime.advance(Duration.ofSeconds(20));
                assertTrue(repeat.sink().outcome() instanceof Outcome.Replayed);
            }
            mCluster.mDaemons.forEach(
                    d -> assertEquals(0, d.mFixture.mRouter.requestsInProgress()));
        }
    }

    /** Deliberately faulty: lets a repeat run although the first request may have run. */
    private record ReleaseOnLossClaims(Claims inner) implements Claims {
        @Override
        public CompletionStage<ClaimResult> claim(ClaimKey key, String id, String digest) {
            return inner.claim(key, id, digest);
        }

        @Override
        public CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer) {
            return inner.complete(ticket, answer);
        }

        @Override
        public CompletionStage<Void> markLost(ClaimTicket ticket) {
            return inner.release(ticket);
        }

        @Override
        public CompletionStage<Void> release(ClaimTicket ticket) {
            return inner.release(ticket);
        }
    }

    /** Deliberately faulty: every daemon has its own claims. */
    private static final class LocalClaims implements Claims {
        private final InMemoryClaims mClaims = new InMemoryClaims();

        LocalClaims(Claims unused) {}

        @Override
        public CompletionStage<ClaimResult> claim(ClaimKey key, String id, String digest) {
            return mClaims.claim(key, id, digest);
        }

        @Override
        public CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer) {
            return mClaims.complete(ticket, answer);
        }

        @Override
        public CompletionStage<Void> markLost(ClaimTicket ticket) {
            return mClaims.markLost(ticket);
        }

        @Override
        public CompletionStage<Void> release(ClaimTicket ticket) {
            return mClaims.release(ticket);
        }
    }
}
