package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlannedWorkTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final PlannedWork mPlanned = new PlannedWork(mScheduler);

    @ParameterizedTest
    @CsvSource({"0,CONFIGURATION", "312,CONFIGURATION", "3000,CONFIGURATION", "3001,NONE"})
    void aChangeIsWithinReachForThreeSeconds(long ageMs, PlannedWork.Kind kind) {
        mPlanned.onConfiguration(40);
        mPlanned.onConfiguration(41);
        mScheduler.advance(Duration.ofMillis(ageMs));
        assertEquals(kind, mPlanned.kind());
        assertEquals("config_now=41 config_age_ms=" + ageMs, mPlanned.describe());
    }

    @Test
    void theVersionThatADaemonBeginsWithIsNoChange() {
        assertEquals("", mPlanned.describe());
        assertEquals(PlannedWork.Kind.NONE, mPlanned.kind());
        mPlanned.onConfiguration(40);
        assertEquals(PlannedWork.Kind.NONE, mPlanned.kind());
        assertEquals("config_now=40 config_age_ms=0", mPlanned.describe());
    }

    @Test
    void aStopGoesBeforeAChange() {
        mPlanned.onConfiguration(40);
        mPlanned.onConfiguration(41);
        mPlanned.onStop();
        mScheduler.advance(Duration.ofSeconds(5));
        assertEquals(PlannedWork.Kind.STOP, mPlanned.kind());
    }
}
