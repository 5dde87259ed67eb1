package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SilenceLimitTest {
    private static SilenceLimit stream() {
        return new SilenceLimit(
                GatewayConfigurationTest.route("r", "/r/", RequestKind.STREAM, true));
    }

    @Test
    void theFirstEventMayTakePartOfTheObjective() {
        assertEquals(Duration.ofMillis(200), stream().limit());
    }

    @ParameterizedTest
    @CsvSource({"10,80", "30,105", "50,175", "90,180"})
    void laterEventsAreMeasuredAgainstTheUsualPause(long pauseMs, long limitMs) {
        SilenceLimit limit = stream();
        limit.onEvent(Duration.ofMillis(400));
        for (int i = 0; i < 20; i++) {
            limit.onEvent(Duration.ofMillis(pauseMs));
        }
        assertEquals(limitMs, limit.limit().toMillis());
    }

    @Test
    void aQuestionThatFindsNothingDoublesTheLimitUntilTheNextAttempt() {
        SilenceLimit limit = stream();
        limit.onFalseAlarm();
        assertEquals(Duration.ofMillis(400), limit.limit());
        limit.onAttempt();
        assertEquals(Duration.ofMillis(200), limit.limit());
    }

    @Test
    void onceAnEngineIsKnownLostShorterSilencesCount() {
        SilenceLimit limit = stream();
        limit.onEvent(Duration.ofMillis(60));
        limit.onEvent(Duration.ofMillis(40));
        assertFalse(limit.isLong(Duration.ofMillis(70)));
        assertTrue(limit.isLong(Duration.ofMillis(80)));
    }
}
