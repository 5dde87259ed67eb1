package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.Optional;

/** Decides whether and when a failed attempt is followed by another. Thread-safe. */
public interface RetryPolicy {
    /** Told of each request that starts; feeds the budget. */
    void onRequest();

    /**
     * Decides on one retry and takes it from the budget.
     *
     * @param requestId id of the request, for the decision log
     * @param attempt number of the attempt that failed, 1 or more
     * @param timeLeft time left to the deadline, if one is set
     * @return time to wait before the next attempt, empty if there is to be none
     */
    Optional<Duration> next(String requestId, int attempt, Optional<Duration> timeLeft);
}
