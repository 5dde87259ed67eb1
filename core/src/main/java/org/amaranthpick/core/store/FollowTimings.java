package org.amaranthpick.core.store;

import java.time.Duration;

/**
 * Times of following the store, derived from the bounds of the deployment. Answers two loads: a
 * change has to be in force in time although calls are batched, and a connection that goes silent
 * has to be noticed and replaced before its changes are late.
 *
 * <p>A silence begins after the last response, which starts the next poll. It ends at the latest
 * {@code proofInterval + overdue + RELIST} after that response, which is the stable window. A call
 * that is no poll is given up and repeated once within the stable window.
 *
 * @param maxBatching longest time for which changes are batched
 * @param proofInterval time from a response of a watch to the end of its next poll
 * @param overdue time after the end of a poll from which its connection counts as silent
 * @param callTimeout timeout of a call that doesn't wait for changes
 */
public record FollowTimings(
        Duration maxBatching, Duration proofInterval, Duration overdue, Duration callTimeout) {
    /** Time to connect, to list again and to put the list into force. */
    static final Duration RELIST = Duration.ofMillis(450);

    private static final Duration OVERDUE = Duration.ofMillis(250);
    private static final Duration MIN_PROOF_INTERVAL = Duration.ofMillis(400);
    private static final Duration MAX_CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration MIN_CALL_TIMEOUT = Duration.ofMillis(500);

    /** Fraction of the maximum change delay for batching; the rest is for the call and retries. */
    private static final double MAX_BATCHING_FRACTION = 0.45;

    /**
     * Derives the times.
     *
     * @param maxChangeDelay time from the acknowledgement of a change until it must be in force
     * @param stableWindow time from the beginning of a silence until changes acknowledged in it
     *     must be in force, unless they have longer by {@code maxChangeDelay}
     * @return times
     */
    public static FollowTimings of(Duration maxChangeDelay, Duration stableWindow) {
        Duration proofInterval =
                longer(stableWindow.minus(RELIST).minus(OVERDUE), MIN_PROOF_INTERVAL);
        Duration batching =
                Duration.ofMillis((long) (maxChangeDelay.toMillis() * MAX_BATCHING_FRACTION));
        Duration callTimeout =
                longer(
                        stableWindow.minus(RELIST).minus(StoreFollower.MIN_RETRY_DELAY),
                        MIN_CALL_TIMEOUT);
        return new FollowTimings(
                shorter(batching, proofInterval.dividedBy(2)),
                proofInterval,
                OVERDUE,
                shorter(callTimeout, MAX_CALL_TIMEOUT));
    }

    /**
     * Returns how long the store may wait for changes in the next poll of a watch. The time since
     * the last response counts, since the connection may have gone silent right after it.
     *
     * @param sinceResponse time since the last response on behalf of the watch
     * @return time to wait for changes
     */
    public Duration pollWait(Duration sinceResponse) {
        return longer(proofInterval.minus(sinceResponse), Duration.ZERO);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
