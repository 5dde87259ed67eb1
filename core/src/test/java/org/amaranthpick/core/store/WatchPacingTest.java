package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WatchPacingTest {
    @ParameterizedTest
    @CsvSource({
        "1,2000,3000,250,2300",
        "13,2000,3000,390,2300",
        "20,4000,5000,600,4300",
        "95,4000,5000,1800,4300",
        "146,2000,3000,900,2300",
        "100,3000,4000,1350,3300",
        "1000,3000,4000,1350,3300",
        "13,2000,2000,390,1300"
    })
    void pollsLessOftenInLargerFleetsWithinLimits(
            int daemons,
            long maxChangeDelayMs,
            long stableWindowMs,
            long batchingDelayMs,
            long pollWaitMs) {
        WatchPacing pacing =
                new WatchPacing(
                        FollowTimings.of(
                                Duration.ofMillis(maxChangeDelayMs),
                                Duration.ofMillis(stableWindowMs)));
        pacing.setDaemonCount(daemons);
        assertEquals(batchingDelayMs, pacing.batchingDelay(Duration.ofMillis(300)).toMillis());
        assertEquals(pollWaitMs, pacing.timings().pollWait(Duration.ZERO).toMillis());
    }

    /** A change after a calm, such as a new configuration, is followed at once in any fleet. */
    @ParameterizedTest
    @ValueSource(ints = {1, 13, 95, 440})
    void aChangeAfterACalmIsNotBatchedForLong(int daemons) {
        WatchPacing pacing =
                new WatchPacing(FollowTimings.of(Duration.ofSeconds(4), Duration.ofSeconds(5)));
        pacing.setDaemonCount(daemons);
        assertEquals(250, pacing.batchingDelay(Duration.ofSeconds(10)).toMillis());
    }

    /** After a power cut all daemons start at once, before they can count each other. */
    @Test
    void manyDaemonsAreAssumedUntilTheyAreCounted() {
        WatchPacing pacing =
                new WatchPacing(FollowTimings.of(Duration.ofSeconds(4), Duration.ofSeconds(5)));
        assertEquals(1200, pacing.batchingDelay(Duration.ofMillis(100)).toMillis());
    }

    /** While engines come and go all the time, a daemon calls about once in 1.8 s. */
    @Test
    void aStormOfChangesCostsOneCallForEachBatch() {
        WatchPacing pacing =
                new WatchPacing(FollowTimings.of(Duration.ofSeconds(4), Duration.ofSeconds(5)));
        pacing.setDaemonCount(95);
        int calls = 0;
        Duration sinceLast = Duration.ofSeconds(20);
        Duration elapsed = Duration.ZERO;
        while (elapsed.compareTo(Duration.ofSeconds(30)) < 0) {
            Duration delay = pacing.batchingDelay(sinceLast);
            calls++;
            elapsed = elapsed.plus(delay);
            sinceLast = delay;
        }
        assertTrue(calls <= 18, calls + " calls in 30 s");
    }
}
