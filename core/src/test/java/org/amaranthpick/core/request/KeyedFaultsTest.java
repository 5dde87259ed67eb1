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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A keyed request through one daemon, a fault at every step of its life, and repeats through
 * another daemon at once and later.
 */
class KeyedFaultsTest {
    private static final int LAST_STEP_MS = 4_000;
    private static final int STEP_MS = 20;
    private static final int SPARSE_STEP_MS = 250;
    private static final int DENSE_UNTIL_MS = 400;
    private static final Duration LONG = Duration.ofMinutes(2);

    /** What goes wrong. */
    enum Event {
        DEATH,
        STANDSTILL,
        STORE_OUTAGE,
        STORE_AMBIGUOUS,
        OWNER_CHANGE,
        CALLER_GONE
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Event event : Event.values()) {
            int atMs = 0;
            while (atMs <= LAST_STEP_MS) {
                cases.add(Arguments.of(event, atMs));
                atMs += atMs < DENSE_UNTIL_MS ? STEP_MS : SPARSE_STEP_MS;
            }
        }
        return cases.stream();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void requestRunsAtMostOnceAndRepeatsAreToldTruly(Event event, int atMs) {
        Daemons daemons = new Daemons(new Random(1), ClaimSettings.defaults(), claims -> claims);
        RecordingSink first = new RecordingSink();
        RequestHandle handle = submit(daemons, 0, "r0", first);
        daemons.mTime.advance(Duration.ofMillis(atMs));
        strike(daemons, event, handle);
        RecordingSink atOnce = new RecordingSink();
        submit(daemons, 1, "r1", atOnce);
        daemons.mTime.advance(Duration.ofSeconds(20));
        daemons.mFaults.mOutage = false;
        daemons.mFaults.mAmbiguous = 0;
        daemons.mTime.advance(LONG);
        RecordingSink later = new RecordingSink();
        submit(daemons, 2, "r2", later);
        daemons.mTime.advance(LONG);
        check(daemons, event, List.of(first, atOnce, later));
    }

    private static RequestHandle submit(
            Daemons daemons, int index, String requestId, RecordingSink sink) {
        RequestFixture fixture = daemons.mDaemons.get(index).mFixture;
        return fixture.mRouter.submit(
                fixture.request(requestId, "op", false, Optional.of("k"), Optional.empty()), sink);
    }

    private static void strike(Daemons daemons, Event event, RequestHandle handle) {
        switch (event) {
            case DEATH -> daemons.restart(0);
            case STANDSTILL -> daemons.mDaemons.get(0).mNode.standStill(Duration.ofSeconds(15));
            case STORE_OUTAGE -> daemons.mFaults.mOutage = true;
            case STORE_AMBIGUOUS -> daemons.mFaults.mAmbiguous = 1;
            case OWNER_CHANGE -> {
                for (int i = 1; i < Daemons.COUNT; i++) {
                    daemons.mDaemons.get(0).mBelieved[i] = false;
                    daemons.mDaemons.get(1).mBelieved[i] = i == 1;
                }
            }
            case CALLER_GONE -> handle.cancel();
            default -> throw new IllegalArgumentException(event.toString());
        }
    }

    private static void check(Daemons daemons, Event event, List<RecordingSink> sinks) {
        List<String> runs = daemons.mUpstreams.runsOfPrompt("op");
        assertTrue(runs.size() <= 1, "ran as " + runs);
        assertEquals(0, daemons.mInvariants.total());
        for (int i = 0; i < sinks.size(); i++) {
            boolean died = i == 0 && event == Event.DEATH;
            if (died && !sinks.get(i).hasOutcome()) {
                continue;
            }
            Outcome outcome = sinks.get(i).outcome();
            assertEquals(
                    outcome instanceof Outcome.Answered || outcome instanceof Outcome.Interrupted,
                    runs.contains("r" + i),
                    "r" + i + " was told " + outcome + ", ran " + runs);
            if (outcome instanceof Outcome.Replayed replayed) {
                assertEquals(RequestFixture.wholeText(runs.get(0)), replayed.text());
            }
        }
        assertServed(event, runs, sinks.get(sinks.size() - 1).outcome());
    }

    /** A key that nobody holds is served in the end; only a death may leave it unknown. */
    private static void assertServed(Event event, List<String> runs, Outcome last) {
        boolean served = last instanceof Outcome.Answered || last instanceof Outcome.Replayed;
        boolean unknown =
                last instanceof Outcome.NotRun notRun
                        && (notRun.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN
                                || notRun.reason() == RefusalReason.KEY_IN_PROGRESS);
        assertTrue(served || (event == Event.DEATH && unknown), () -> last + " after " + runs);
    }
}
