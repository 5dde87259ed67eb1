package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.Optional;

/** Decides whether and when a failed attempt is retried. Thread-safe. */
public interface RetryPolicy {
    /** Records a new request, which adds to the retry budget. */
    void onRequest();

    /**
     * Decides on a retry and takes it from the budget.
     *
     * @param requestId id of the request, for the decision log
     * @param attempt number of the attempt that failed, from 1
     * @param timeLeft time until the deadline, if one is set
     * @return backoff before the next attempt, empty if the request must not be retried
     */
    Optional<Duration> nextBackoff(String requestId, int attempt, Optional<Duration> timeLeft);
}
