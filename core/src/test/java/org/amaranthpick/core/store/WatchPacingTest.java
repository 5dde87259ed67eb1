package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchPacingTest {
    @ParameterizedTest
    @CsvSource({
        "1,2000,250,3000",
        "13,2000,250,3000",
        "80,2000,800,3200",
        "146,2000,900,5000",
        "100,3000,1000,4000",
        "146,3000,1350,5000",
        "1000,3000,1350,5000"
    })
    void pollsLessOftenInLargerFleetsWithinLimits(
            int daemons, long maxChangeDelayMs, long batchingDelayMs, long pollTimeoutMs) {
        WatchPacing pacing = new WatchPacing(Duration.ofMillis(maxChangeDelayMs));
        pacing.setDaemonCount(daemons);
        assertEquals(batchingDelayMs, pacing.batchingDelay().toMillis());
        assertEquals(pollTimeoutMs, pacing.pollTimeout().toMillis());
    }
}
