package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchPacingTest {
    @ParameterizedTest
    @CsvSource({"1,250,3000", "13,250,3000", "100,800,4000", "146,1000,5000", "1000,1000,5000"})
    void largerFleetsCallLessOftenWithinBounds(int daemons, long gatheringMs, long waitingMs) {
        WatchPacing pacing = new WatchPacing();
        pacing.onDaemons(daemons);
        assertEquals(gatheringMs, pacing.gathering().toMillis());
        assertEquals(waitingMs, pacing.waiting().toMillis());
    }
}
