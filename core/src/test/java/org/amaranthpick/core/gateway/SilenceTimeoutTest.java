package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SilenceTimeoutTest {
    private static SilenceTimeout stream() {
        return new SilenceTimeout(
                GatewayConfigurationTest.route("r", "/r/", RequestKind.STREAM, true));
    }

    @Test
    void theFirstEventHasAFractionOfTheLatencyObjective() {
        assertEquals(Duration.ofMillis(200), stream().timeout());
    }

    @ParameterizedTest
    @CsvSource({"10,80", "30,105", "50,175", "90,180"})
    void theTimeoutOfLaterEventsFollowsTheUsualPause(long pauseMs, long timeoutMs) {
        SilenceTimeout timeout = stream();
        timeout.onEvent(Duration.ofMillis(400));
        for (int i = 0; i < 20; i++) {
            timeout.onEvent(Duration.ofMillis(pauseMs));
        }
        assertEquals(timeoutMs, timeout.timeout().toMillis());
    }

    @Test
    void aFalseAlarmDoublesTheTimeoutUntilTheNextAttempt() {
        SilenceTimeout timeout = stream();
        timeout.onFalseAlarm();
        assertEquals(Duration.ofMillis(400), timeout.timeout());
        timeout.onAttempt();
        assertEquals(Duration.ofMillis(200), timeout.timeout());
    }

    @Test
    void shorterSilencesCountOnceAnEngineIsKnownToBeLost() {
        SilenceTimeout timeout = stream();
        timeout.onEvent(Duration.ofMillis(60));
        timeout.onEvent(Duration.ofMillis(40));
        assertFalse(timeout.isLongerThanUsual(Duration.ofMillis(70)));
        assertTrue(timeout.isLongerThanUsual(Duration.ofMillis(80)));
    }
}
