package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Limits retries to a share of the traffic, with jittered exponential backoff. */
public final class BudgetRetryPolicy implements RetryPolicy {
    private final Settings mSettings;
    private final RandomGenerator mRandom;
    private double mBudget;

    /**
     * Settings of the policy.
     *
     * @param retriesPerRequest retries that each request adds to the budget, 0 to 1
     * @param maxBudget upper bound of the budget, so that a quiet period allows no retry storm
     * @param maxAttempts maximum number of attempts of a request
     * @param firstBackoff upper bound of the first backoff; doubles with each attempt
     * @param maxBackoff upper bound of every backoff
     */
    public record Settings(
            double retriesPerRequest,
            double maxBudget,
            int maxAttempts,
            Duration firstBackoff,
            Duration maxBackoff) {
        /** Default settings. */
        public static final Settings DEFAULT =
                new Settings(0.1, 10, 4, Duration.ofMillis(20), Duration.ofMillis(400));
    }

    /**
     * Creates a policy with a full budget.
     *
     * @param settings settings
     * @param random source of the jitter
     */
    public BudgetRetryPolicy(Settings settings, RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
        mBudget = settings.maxBudget();
    }

    @Override
    public synchronized void onRequest() {
        mBudget = Math.min(mSettings.maxBudget(), mBudget + mSettings.retriesPerRequest());
    }

    @Override
    public Optional<Duration> nextBackoff(
            String requestId, int attempt, Optional<Duration> timeLeft) {
        if (attempt >= mSettings.maxAttempts()) {
            return Optional.empty();
        }
        Duration backoff = backoff(attempt);
        boolean tooLate = timeLeft.isPresent() && timeLeft.get().compareTo(backoff) <= 0;
        return tooLate || !tryAcquire() ? Optional.empty() : Optional.of(backoff);
    }

    private synchronized boolean tryAcquire() {
        if (mBudget < 1) {
            return false;
        }
        mBudget -= 1;
        return true;
    }

    private synchronized Duration backoff(int attempt) {
        long boundNs = mSettings.firstBackoff().toNanos() << Math.min(attempt - 1, 16);
        boundNs = Math.min(boundNs, mSettings.maxBackoff().toNanos());
        return Duration.ofNanos(mRandom.nextLong(boundNs + 1));
    }
}
