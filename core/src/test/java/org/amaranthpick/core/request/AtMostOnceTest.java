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
 * Callers repeat keyed requests through several daemons while daemons die, stand still and disagree
 * on the owner, and the store and the network fail. What really ran is counted at the upstreams.
 */
class AtMostOnceTest {
    private static final int OPERATIONS = 12;
    private static final int STEPS = 120;
    private static final Duration STEP = Duration.ofMillis(400);
    private static final Duration HEALING = Duration.ofMinutes(3);
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
    void keyedRequestRunsAtMostOnceAndOutcomesAreTrue(@ForAll long seed) {
        Run run = new Run(new Random(seed), claims -> claims, false);
        run.perform();
        run.heal();
        assertEquals(List.of(), run.faults(), "seed " + seed);
        run.assertAlive();
    }

    @Property(tries = 800, seed = "11", shrinking = ShrinkingMode.OFF)
    void noKeyStaysClaimedByNobody(@ForAll long seed) {
        Run run = new Run(new Random(seed), claims -> claims, false);
        run.mDeaths = false;
        run.perform();
        run.heal();
        assertEquals(List.of(), run.faults(), "seed " + seed);
        run.assertNoKeyIsStuck(seed);
    }

    @Property(tries = 1, seed = "12")
    void runsMeetEveryKindOfEvent() {
        Set<String> seen = new TreeSet<>();
        for (long seed = 0; seed < 300; seed++) {
            Run run = new Run(new Random(seed), claims -> claims, false);
            run.perform();
            run.heal();
            run.addEvents(seen);
        }
        assertEquals(EVENTS, seen);
    }

    @Property(tries = 1, seed = "8")
    void storeWithoutCompareAndSetIsFoundOut() {
        assertTrue(findsFault(claims -> claims, true));
    }

    @Property(tries = 1, seed = "9")
    void releaseOfRequestThatMayHaveRunIsFoundOut() {
        assertTrue(findsFault(ReleasingClaims::new, false));
    }

    @Property(tries = 1, seed = "10")
    void grantWithoutClaimIsFoundOut() {
        assertTrue(findsFault(LocalClaims::new, false));
    }

    private static boolean findsFault(UnaryOperator<Claims> wrapper, boolean ignoresConditions) {
        for (long seed = 0; seed < 60; seed++) {
            Run run = new Run(new Random(seed), wrapper, ignoresConditions);
            run.perform();
            run.heal();
            if (!run.faults().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** One submission of an operation. */
    private record Submission(String operation, String requestId, RecordingSink sink) {}

    /** One randomised run. */
    private static final class Run {
        private final RandomGenerator mRandom;
        private final Daemons mDaemons;
        private final List<Submission> mSubmissions = new ArrayList<>();
        private boolean mDeaths = true;

        Run(RandomGenerator random, UnaryOperator<Claims> wrapper, boolean ignoresConditions) {
            mRandom = random;
            mDaemons = new Daemons(random, settings(), wrapper);
            mDaemons.mFaults.mIgnoresConditions = ignoresConditions;
            mDaemons.mUpstreams.script(call -> randomScript());
        }

        private static ClaimSettings settings() {
            ClaimSettings d = ClaimSettings.defaults();
            return new ClaimSettings(
                    2,
                    d.commitInterval(),
                    d.settleLinger(),
                    d.expiry(),
                    d.skewMargin(),
                    150,
                    d.maxShardEntries(),
                    60,
                    d.askTimeout(),
                    d.peerTimeout(),
                    d.settleTimeout(),
                    d.releaseTimeout(),
                    d.maxRequestTime(),
                    d.cacheTrust());
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

        void perform() {
            mDaemons.mNetwork.mLost = 0.05;
            mDaemons.mNetwork.mSlow = 0.05;
            mDaemons.mFaults.mAmbiguous = 0.15;
            mDaemons.mFaults.mThrottled = 0.05;
            for (int i = 0; i < STEPS; i++) {
                act(mRandom.nextInt(20));
                mDaemons.mTime.advance(Duration.ofMillis(mRandom.nextInt((int) STEP.toMillis())));
            }
        }

        private void act(int action) {
            int index = mRandom.nextInt(Daemons.COUNT);
            Daemons.Daemon daemon = mDaemons.mDaemons.get(index);
            switch (action) {
                case 0 -> {
                    if (mDeaths) {
                        mDaemons.restart(index);
                    }
                }
                case 1 -> daemon.mNode.standStill(Duration.ofMillis(500 + mRandom.nextInt(9_000)));
                case 2 -> mDaemons.mFaults.mOutage = mRandom.nextInt(3) == 0;
                case 3, 4 -> daemon.mBelieved[mRandom.nextInt(Daemons.COUNT)] ^= true;
                default -> submit(index, "op" + mRandom.nextInt(OPERATIONS));
            }
        }

        private Submission submit(int index, String operation) {
            Daemons.Daemon daemon = mDaemons.mDaemons.get(index);
            String requestId = "r" + mSubmissions.size();
            Submission submission = new Submission(operation, requestId, new RecordingSink());
            mSubmissions.add(submission);
            CallerRequest request =
                    daemon.mFixture.request(
                            requestId, operation, false, Optional.of(operation), Optional.empty());
            daemon.mNode.run(
                    () -> {
                        daemon.mFixture.mRouter.submit(request, submission.sink());
                    });
            return submission;
        }

        void heal() {
            mDaemons.mNetwork.mLost = 0;
            mDaemons.mNetwork.mSlow = 0;
            mDaemons.mFaults.mAmbiguous = 0;
            mDaemons.mFaults.mThrottled = 0;
            mDaemons.mFaults.mOutage = false;
            mDaemons.mUpstreams.script(call -> Script.NONE);
            mDaemons.mTime.advance(HEALING);
        }

        /** Lists what was promised and did not hold. */
        List<String> faults() {
            List<String> faults = new ArrayList<>();
            for (int i = 0; i < OPERATIONS; i++) {
                List<String> runs = mDaemons.mUpstreams.runsOfPrompt("op" + i);
                if (runs.size() > 1) {
                    faults.add("op" + i + " ran as " + runs);
                }
            }
            mSubmissions.stream().filter(s -> s.sink().hasOutcome()).forEach(s -> check(s, faults));
            if (mDaemons.mInvariants.total() > 0) {
                faults.add("invariants violated");
            }
            return faults;
        }

        private void check(Submission submission, List<String> faults) {
            Outcome outcome = submission.sink().outcome();
            String id = submission.requestId();
            if (outcome instanceof Outcome.NotRun && mDaemons.mUpstreams.runs(id) > 0) {
                faults.add(id + " ran but was told as " + outcome);
            }
            if (outcome instanceof Outcome.Answered
                    && !submission.sink().text().equals(RequestFixture.wholeText(id))) {
                faults.add(id + " was answered with " + submission.sink().text());
            }
            if (outcome instanceof Outcome.Replayed replayed) {
                List<String> runs = mDaemons.mUpstreams.runsOfPrompt(submission.operation());
                if (!runs.stream()
                        .map(RequestFixture::wholeText)
                        .toList()
                        .contains(replayed.text())) {
                    faults.add(submission + " got another's answer: " + replayed.text() + runs);
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
            for (Daemons.Daemon daemon : mDaemons.mDaemons) {
                addIf(daemon.mClaims.counters().conflicts() > 0, "conflict", seen);
                addIf(daemon.mClaims.counters().unknowns() > 0, "unknown_write", seen);
            }
            addIf(mDaemons.storedKeys().contains("segment"), "segment", seen);
        }

        private static void addIf(boolean happened, String event, Set<String> seen) {
            if (happened) {
                seen.add(event);
            }
        }

        void assertNoKeyIsStuck(long seed) {
            for (int i = 0; i < OPERATIONS; i++) {
                boolean ran = !mDaemons.mUpstreams.runsOfPrompt("op" + i).isEmpty();
                Submission repeat = submit(i % Daemons.COUNT, "op" + i);
                mDaemons.mTime.advance(Duration.ofSeconds(20));
                Outcome outcome = repeat.sink().outcome();
                boolean refused =
                        outcome instanceof Outcome.NotRun notRun
                                && notRun.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN;
                boolean known = outcome instanceof Outcome.Replayed || refused;
                boolean served = ran ? known : outcome instanceof Outcome.Answered;
                assertTrue(served, () -> seed + " " + repeat + " after " + ran + " got " + outcome);
            }
        }

        /** After all is well again, new keys are served, and every request has its outcome. */
        void assertAlive() {
            for (int i = 0; i < Daemons.COUNT; i++) {
                Submission fresh = submit(i, "fresh" + i);
                mDaemons.mTime.advance(Duration.ofSeconds(20));
                assertTrue(
                        fresh.sink().hasOutcome()
                                && fresh.sink().outcome() instanceof Outcome.Answered,
                        () -> "fresh key got " + fresh.sink().outcome());
                Submission repeat = submit((i + 1) % Daemons.COUNT, "fresh" + i);
                mDaemons.mTime.advance(Duration.ofSeconds(20));
                assertTrue(repeat.sink().outcome() instanceof Outcome.Replayed);
            }
            mDaemons.mDaemons.forEach(d -> assertEquals(0, d.mFixture.mRouter.inProgress()));
        }
    }

    /** Broken: lets a repeat run although the first request may have run. */
    private record ReleasingClaims(Claims inner) implements Claims {
        @Override
        public CompletionStage<ClaimResult> claim(ClaimKey key, String id, String digest) {
            return inner.claim(key, id, digest);
        }

        @Override
        public CompletionStage<Void> done(ClaimTicket ticket, ClaimAnswer answer) {
            return inner.done(ticket, answer);
        }

        @Override
        public CompletionStage<Void> lost(ClaimTicket ticket) {
            return inner.release(ticket);
        }

        @Override
        public CompletionStage<Void> release(ClaimTicket ticket) {
            return inner.release(ticket);
        }
    }

    /** Broken: each daemon keeps its own claims. */
    private static final class LocalClaims implements Claims {
        private final MapClaims mClaims = new MapClaims();

        LocalClaims(Claims unused) {}

        @Override
        public CompletionStage<ClaimResult> claim(ClaimKey key, String id, String digest) {
            return mClaims.claim(key, id, digest);
        }

        @Override
        public CompletionStage<Void> done(ClaimTicket ticket, ClaimAnswer answer) {
            return mClaims.done(ticket, answer);
        }

        @Override
        public CompletionStage<Void> lost(ClaimTicket ticket) {
            return mClaims.lost(ticket);
        }

        @Override
        public CompletionStage<Void> release(ClaimTicket ticket) {
            return mClaims.release(ticket);
        }
    }
}
