package org.amaranthpick.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final long SECOND_NS = 1_000_000_000L;

    @Test
    void retriesStayWithinTheRatioAndTheFixedPartInEveryWindow() {
        RetryBudget budget = new RetryBudget(0.2, () -> 3, Duration.ofSeconds(10));
        int taken = 0;
        for (int i = 0; i < 50; i++) {
            budget.onRequest(i * SECOND_NS / 10);
            taken += budget.tryAcquire(i * SECOND_NS / 10) ? 1 : 0;
        }
        assertEquals(13, taken);
    }

    @Test
    void theFixedPartShrinksWithTheNumberOfDaemons() {
        int[] daemons = {1};
        RetryBudget budget = new RetryBudget(0, () -> 4.0 / daemons[0], Duration.ofSeconds(10));
        assertTrue(budget.tryAcquire(0));
        daemons[0] = 4;
        assertFalse(budget.tryAcquire(1));
        assertTrue(budget.tryAcquire(11 * SECOND_NS));
    }
}
