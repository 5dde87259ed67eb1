package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Computes the Retry-After time of refused requests. Designed for the loss of some engines while
 * the others are full: callers that retry at once are refused again, and keep the engines busy with
 * refusals. The time is that in which requests in progress free capacity, with jitter so that
 * callers don't return together, and never more than a caller would wait.
 */
public final class RetryAfterPolicy {
    /** Callers ignore a Retry-After above about a third of the time they have left. */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.3;

    /** Lower bound of the random factor on the drain time. */
    private static final double MIN_JITTER_FACTOR = 0.5;

    /** Width of the range of the random factor. */
    private static final double JITTER_FACTOR_RANGE = 1;

    /** Drain time of plain services, whose answers take a fraction of a second. */
    private static final Duration PLAIN_SERVICE_DRAIN_TIME = Duration.ofMillis(900);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(1);

    private final RandomGenerator mRandom;

    /**
     * Creates a policy.
     *
     * @param random source of the jitter
     */
    public RetryAfterPolicy(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Computes the time for one caller.
     *
     * @param drainTime time in which requests in progress free capacity, empty if unknown
     * @param timeLeft time until the caller's deadline
     * @return time after which the caller may retry
     */
    public Duration retryAfter(Optional<Duration> drainTime, Duration timeLeft) {
        double jitterFactor = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * mRandom.nextDouble();
        double jitteredMs = drainTime.orElse(PLAIN_SERVICE_DRAIN_TIME).toMillis() * jitterFactor;
        double maxMs = timeLeft.toMillis() * MAX_FRACTION_OF_TIME_LEFT;
        Duration retryAfter = Duration.ofMillis((long) Math.min(jitteredMs, maxMs));
        return retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
    }
}
