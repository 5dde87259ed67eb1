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
 * @param maxChangeDelay time from the acknowledgement of a change until it must be in force
 * @param stableWindow time from the beginning of a silence until changes acknowledged in it must be
 *     in force, unless they have longer by {@code maxChangeDelay}
 */
public record FollowTimings(Duration maxChangeDelay, Duration stableWindow) {
    /** Time to connect, to list again and to put the list into force. */
    private static final Duration RELIST = Duration.ofMillis(450);

    /** Time for an answer of a daemon that follows the store to those that follow it. */
    private static final Duration RELAY = Duration.ofMillis(300);

    private static final Duration OVERDUE = Duration.ofMillis(250);
    private static final Duration MIN_PROOF_INTERVAL = Duration.ofMillis(400);
    private static final Duration MAX_CALL_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration MIN_CALL_TIMEOUT = Duration.ofMillis(500);

    /** Fraction of the maximum change delay for batching; the rest is for the call and retries. */
    private static final double MAX_BATCHING_FRACTION = 0.45;

    /**
     * Returns the times for a failure domain in which daemons follow others. These have to find out
     * in the time of a change that the one which they follow has lost the store, since they are not
     * disturbed themselves.
     *
     * @return times of the daemons that watch the store and of those that follow them
     */
    public FollowTimings relaying() {
        return new FollowTimings(
                maxChangeDelay, shorter(maxChangeDelay, stableWindow).minus(RELAY));
    }

    /**
     * Returns the age of the last proof of being up to date from which a daemon that follows
     * another one lists the objects itself; of the times for such domains.
     *
     * @return longest age
     */
    public Duration staleAfter() {
        return stableWindow.plus(RELAY).minus(RELIST);
    }

    /**
     * Returns the longest time for which changes are batched.
     *
     * @return time from the receipt of changes to the next poll
     */
    public Duration maxBatching() {
        Duration batching =
                Duration.ofMillis((long) (maxChangeDelay.toMillis() * MAX_BATCHING_FRACTION));
        return shorter(batching, proofInterval().dividedBy(2));
    }

    /**
     * Returns the time from a response of a watch to the end of its next poll.
     *
     * @return longest time without a response
     */
    public Duration proofInterval() {
        return longer(stableWindow.minus(RELIST).minus(OVERDUE), MIN_PROOF_INTERVAL);
    }

    /**
     * Returns how long the store may wait for changes in the next poll of a watch. The time since
     * the last response counts, since the connection may have gone silent right after it.
     *
     * @param sinceResponse time since the last response on behalf of the watch
     * @return time to wait for changes
     */
    public Duration pollWait(Duration sinceResponse) {
        return longer(proofInterval().minus(sinceResponse), Duration.ZERO);
    }

    /**
     * Returns the time after the end of a poll from which its connection counts as silent.
     *
     * @return time for the response
     */
    public Duration overdue() {
        return OVERDUE;
    }

    /**
     * Returns the timeout of a call that doesn't wait for changes.
     *
     * @return longest time for the call
     */
    public Duration callTimeout() {
        Duration timeout = stableWindow.minus(RELIST).minus(StoreFollower.MIN_RETRY_DELAY);
        return shorter(longer(timeout, MIN_CALL_TIMEOUT), MAX_CALL_TIMEOUT);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
