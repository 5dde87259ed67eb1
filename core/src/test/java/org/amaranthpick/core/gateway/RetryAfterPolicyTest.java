package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterPolicyTest {
    private final RetryAfterPolicy mPolicy = new RetryAfterPolicy(new SplittableRandom(4));

    /** A domain is partitioned, and 300 callers are refused within a second. */
    @Test
    void retriesAreSpreadAroundTheDrainTime() {
        Set<Long> tenthsOfSeconds = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            long ms =
                    mPolicy.retryAfter(Optional.of(Duration.ofSeconds(2)), Duration.ofSeconds(18))
                            .toMillis();
            assertTrue(ms >= 1000 && ms <= 3000, ms + " ms");
            tenthsOfSeconds.add(ms / 100);
        }
        assertTrue(tenthsOfSeconds.size() >= 19, tenthsOfSeconds.toString());
    }

    @Test
    void theTimeIsLimitedByTheTimeLeft() {
        for (int i = 0; i < 50; i++) {
            Duration retryAfter =
                    mPolicy.retryAfter(Optional.of(Duration.ofSeconds(9)), Duration.ofMillis(1500));
            assertTrue(retryAfter.toMillis() <= 450, retryAfter.toString());
        }
    }

    @Test
    void aCallerWithoutTimeLeftGetsTheMinimum() {
        assertEquals(
                Duration.ofMillis(1), mPolicy.retryAfter(Optional.empty(), Duration.ofMillis(-20)));
    }
}
