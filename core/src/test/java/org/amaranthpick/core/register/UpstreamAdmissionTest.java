package org.amaranthpick.core.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.amaranthpick.core.register.UpstreamAdmission.Notice;
import org.amaranthpick.core.register.UpstreamAdmission.Obstacle;
import org.junit.jupiter.api.Test;

/** What upstreams say of themselves in their answers. */
class UpstreamAdmissionTest {
    private static final UpstreamEntry ENGINE = engine("e", 1);

    private final UpstreamAdmission mAdmission =
            new UpstreamAdmission(
                    new RequestRateLimits(
                            "", List::of, () -> 1, id -> true, new SplittableRandom(1)));

    private static UpstreamEntry engine(String id, long startedAtMs) {
        return new UpstreamEntry(
                id,
                "llm",
                "10.0.0.1:80",
                "z",
                false,
                1,
                Optional.empty(),
                Optional.empty(),
                startedAtMs,
                0);
    }

    private static Notice notice(boolean leaving, Duration pause) {
        return new Notice(
                leaving,
                pause.isZero() ? Optional.empty() : Optional.of(pause),
                OptionalDouble.empty());
    }

    private static long ns(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }

    @Test
    void leavingHoldsUntilTheIncarnationEnds() {
        mAdmission.onAnswer(ENGINE, notice(true, Duration.ZERO), 0);
        mAdmission.onAnswer(ENGINE, notice(false, Duration.ZERO), ns(1));
        assertEquals(Optional.of(Obstacle.LEAVING), mAdmission.obstacle(ENGINE, ns(3600)));
        assertTrue(mAdmission.admits(engine("e", 2), ns(1)), "the next start under this id");
        assertTrue(mAdmission.admits(engine("f", 1), ns(1)), "another one at this address");
    }

    @Test
    void aReportOfLeavingEnds() {
        assertTrue(mAdmission.leaving().onReported("e", 0));
        assertFalse(mAdmission.leaving().onReported("e", 0), "known already");
        assertFalse(mAdmission.admits(ENGINE, 0));
        assertTrue(mAdmission.admits(ENGINE, LeavingNotices.REPORT_LIFETIME.toNanos()));
    }

    @Test
    void aPauseEndsAndTheLongerOneCounts() {
        mAdmission.onAnswer(ENGINE, notice(false, Duration.ofSeconds(4)), 0);
        mAdmission.onAnswer(ENGINE, notice(false, Duration.ofSeconds(1)), ns(1));
        assertEquals(Optional.of(Obstacle.PAUSED), mAdmission.obstacle(ENGINE, ns(4) - 1));
        assertTrue(mAdmission.admits(ENGINE, ns(4)));
        assertTrue(mAdmission.admits(engine("e", 2), ns(1)), "the next start under this id");
    }

    @Test
    void noEngineIsLostByAnAbsurdlyLongPause() {
        mAdmission.onAnswer(ENGINE, notice(false, Duration.ofDays(1)), 0);
        assertTrue(mAdmission.admits(ENGINE, RequestPauses.MAX_PAUSE.toNanos()));
    }

    @Test
    void theShortestPauseIsThatOfEnginesThatStay() {
        UpstreamEntry second = engine("f", 1);
        UpstreamEntry third = engine("g", 1);
        mAdmission.onAnswer(ENGINE, notice(false, Duration.ofSeconds(4)), 0);
        mAdmission.onAnswer(second, notice(false, Duration.ofSeconds(2)), 0);
        mAdmission.onAnswer(third, notice(true, Duration.ofSeconds(1)), 0);
        List<UpstreamEntry> all = List.of(ENGINE, second, third);
        assertEquals(Optional.of(Duration.ofSeconds(2)), mAdmission.shortestPause(all, 0));
        assertEquals(Optional.empty(), mAdmission.shortestPause(all, ns(3)));
    }
}
