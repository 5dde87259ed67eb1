package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Retries from a budget that is a share of the traffic, with jittered exponential backoff. */
public final class BudgetRetryPolicy implements RetryPolicy {
    private final Settings mSettings;
    private final RandomGenerator mRandom;
    private double mBudget;

    /**
     * Settings of the policy.
     *
     * @param share retries earned by each request, 0 to 1
     * @param reserve retries kept at most, so that a long quiet time earns no storm
     * @param maxAttempts attempts of one request at most
     * @param firstBackoff upper bound of the first wait; doubles with each attempt
     * @param maxBackoff upper bound of any wait
     */
    public record Settings(
            double share,
            double reserve,
            int maxAttempts,
            Duration firstBackoff,
            Duration maxBackoff) {
        /** Settings for daily use. */
        public static final Settings DEFAULT =
                new Settings(0.1, 10, 4, Duration.ofMillis(20), Duration.ofMillis(400));
    }

    /**
     * Creates a policy with a full reserve.
     *
     * @param settings settings
     * @param random source of the jitter
     */
    public BudgetRetryPolicy(Settings settings, RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
        mBudget = settings.reserve();
    }

    @Override
    public synchronized void onRequest() {
        mBudget = Math.min(mSettings.reserve(), mBudget + mSettings.share());
    }

    @Override
    public Optional<Duration> next(String requestId, int attempt, Optional<Duration> timeLeft) {
        if (attempt >= mSettings.maxAttempts()) {
            return Optional.empty();
        }
        Duration wait = backoff(attempt);
        boolean late = timeLeft.isPresent() && timeLeft.get().compareTo(wait) <= 0;
        return late || !take() ? Optional.empty() : Optional.of(wait);
    }

    private synchronized boolean take() {
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
