package org.amaranthpick.core.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BudgetRetryPolicyTest {
    private static final BudgetRetryPolicy.Settings SETTINGS = BudgetRetryPolicy.Settings.DEFAULT;

    private static BudgetRetryPolicy policy() {
        return new BudgetRetryPolicy(SETTINGS, new Random(7));
    }

    /** Retries stay a share of the traffic even if every attempt fails. */
    @ParameterizedTest
    @ValueSource(ints = {10, 1_000, 20_000})
    void retriesStayWithinTheBudget(int requests) {
        BudgetRetryPolicy policy = policy();
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            policy.onRequest();
            int attempt = 1;
            while (policy.nextBackoff("r" + i, attempt, Optional.empty()).isPresent()) {
                attempt++;
                retries++;
            }
        }
        double bound = SETTINGS.maxBudget() + SETTINGS.retriesPerRequest() * requests;
        assertTrue(retries <= bound, retries + " retries over " + bound);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void backoffIsBoundedAndEndsBeforeTheDeadline(int attempt) {
        BudgetRetryPolicy policy = policy();
        Duration timeLeft = Duration.ofMillis(15);
        Optional<Duration> backoff = policy.nextBackoff("r", attempt, Optional.of(timeLeft));
        assertTrue(backoff.isEmpty() || backoff.get().compareTo(timeLeft) < 0);
        Optional<Duration> unbounded = policy.nextBackoff("r", attempt, Optional.empty());
        assertTrue(unbounded.orElseThrow().compareTo(SETTINGS.maxBackoff()) <= 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 5, 100})
    void stopsAfterTheLastAttempt(int attempt) {
        assertTrue(policy().nextBackoff("r", attempt, Optional.empty()).isEmpty());
    }
}
