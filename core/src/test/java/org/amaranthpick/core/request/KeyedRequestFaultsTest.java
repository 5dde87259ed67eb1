package org.amaranthpick.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.amaranthpick.core.claim.ClaimSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against keyed requests that run twice or get a wrong outcome when a fault hits between two
 * steps. A request goes through one daemon, the fault is injected at many points in time, and
 * repeats go through other daemons at once and after recovery.
 */
class KeyedRequestFaultsTest {
    private static final int LAST_INJECTION_MS = 4_000;
    private static final int STEP_MS = 20;
    private static final int SPARSE_STEP_MS = 250;
    private static final int DENSE_RANGE_MS = 400;
    private static final Duration SETTLE_TIME = Duration.ofMinutes(2);

    /** Injected fault. */
    enum Fault {
        CRASH,
        FREEZE,
        STORE_OUTAGE,
        STORE_ANSWERS_LOST,
        OWNER_CHANGE,
        CALLER_DISCONNECTS
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            int atMs = 0;
            while (atMs <= LAST_INJECTION_MS) {
                cases.add(Arguments.of(fault, atMs));
                atMs += atMs < DENSE_RANGE_MS ? STEP_MS : SPARSE_STEP_MS;
            }
        }
        return cases.stream();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void requestRunsAtMostOnceAndRepeatsGetTheTrueOutcome(Fault fault, int atMs) {
        DaemonCluster cluster =
                new DaemonCluster(new Random(1), ClaimSettings.defaults(), claims -> claims);
        RecordingSink first = new RecordingSink();
        RequestHandle handle = submit(cluster, 0, "r0", first);
        cluster.mTime.advance(Duration.ofMillis(atMs));
        inject(cluster, fault, handle);
        RecordingSink immediate = new RecordingSink();
        submit(cluster, 1, "r1", immediate);
        cluster.mTime.advance(Duration.ofSeconds(20));
        cluster.mFaultRates.mOutage = false;
        cluster.mFaultRates.mLostAnswerProbability = 0;
        cluster.mTime.advance(SETTLE_TIME);
        RecordingSink afterRecovery = new RecordingSink();
        submit(cluster, 2, "r2", afterRecovery);
        cluster.mTime.advance(SETTLE_TIME);
        check(cluster, fault, List.of(first, immediate, afterRecovery));
    }

    @Test
    void onlyOneDaemonReadsTheClaimsWhileTheOwnerIsSlow() {
        DaemonCluster cluster =
                new DaemonCluster(new Random(1), ClaimSettings.defaults(), claims -> claims);
        for (DaemonCluster.Daemon daemon : cluster.mDaemons) {
            RequestFixture fixture = daemon.mFixture;
            ModelRequest earlier = fixture.request("warm", false, Optional.of("warm"));
            fixture.mRouter.submit(earlier, new RecordingSink());
            cluster.mTime.advance(SETTLE_TIME);
        }
        cluster.mFaultRates.mThrottlingProbability = 1;
        List<Long> before = reads(cluster);
        for (int i = 0; i < DaemonCluster.COUNT; i++) {
            submit(cluster, i, "r" + i, new RecordingSink());
        }
        cluster.mTime.advance(Duration.ofMillis(2_500));
        List<Long> after = reads(cluster);
        int readers = 0;
        for (int i = 0; i < DaemonCluster.COUNT; i++) {
            readers += after.get(i) > before.get(i) ? 1 : 0;
        }
        assertEquals(1, readers);
    }

    private static List<Long> reads(DaemonCluster cluster) {
        return cluster.mDaemons.stream().map(d -> d.mClaims.counters().reads()).toList();
    }

    private static RequestHandle submit(
            DaemonCluster cluster, int index, String requestId, RecordingSink sink) {
        RequestFixture fixture = cluster.mDaemons.get(index).mFixture;
        return fixture.mRouter.submit(
                fixture.request(requestId, "op", false, Optional.of("k"), Optional.empty()), sink);
    }

    private static void inject(DaemonCluster cluster, Fault fault, RequestHandle handle) {
        switch (fault) {
            case CRASH -> cluster.restart(0);
            case FREEZE -> cluster.mDaemons.get(0).mProcess.freeze(Duration.ofSeconds(15));
            case STORE_OUTAGE -> cluster.mFaultRates.mOutage = true;
            case STORE_ANSWERS_LOST -> cluster.mFaultRates.mLostAnswerProbability = 1;
            case OWNER_CHANGE -> {
                for (int i = 1; i < DaemonCluster.COUNT; i++) {
                    cluster.mDaemons.get(0).mSeesMember[i] = false;
                    cluster.mDaemons.get(1).mSeesMember[i] = i == 1;
                }
            }
            case CALLER_DISCONNECTS -> handle.cancel();
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private static void check(DaemonCluster cluster, Fault fault, List<RecordingSink> sinks) {
        List<String> runs = cluster.mUpstreams.runsOfPrompt("op");
        assertTrue(runs.size() <= 1, "runs " + runs);
        assertEquals(0, cluster.mInvariants.total());
        for (int i = 0; i < sinks.size(); i++) {
            boolean crashed = i == 0 && fault == Fault.CRASH;
            if (crashed && !sinks.get(i).hasOutcome()) {
                continue;
            }
            Outcome outcome = sinks.get(i).outcome();
            assertEquals(
                    outcome instanceof Outcome.Answered || outcome instanceof Outcome.Interrupted,
                    runs.contains("r" + i),
                    "r" + i + " got " + outcome + ", runs " + runs);
            if (outcome instanceof Outcome.Replayed replayed) {
                assertEquals(RequestFixture.fullAnswer(runs.get(0)), replayed.text());
            }
        }
        assertKeyIsUsable(fault, runs, sinks.get(sinks.size() - 1).outcome());
    }

    /**
     * Asserts that the key is served after recovery; only a crash may leave its outcome unknown.
     */
    private static void assertKeyIsUsable(Fault fault, List<String> runs, Outcome last) {
        boolean served = last instanceof Outcome.Answered || last instanceof Outcome.Replayed;
        boolean unknown =
                last instanceof Outcome.NotRun notRun
                        && (notRun.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN
                                || notRun.reason() == RefusalReason.KEY_IN_PROGRESS);
        assertTrue(served || (fault == Fault.CRASH && unknown), () -> last + " after " + runs);
    }
}
