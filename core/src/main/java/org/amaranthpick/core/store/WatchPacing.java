package org.amaranthpick.core.store;

import java.time.Duration;

/**
 * Computes how often a watch calls the store. A change ends the long poll of every daemon, so that
 * the number of calls grows with the product of changes and daemons. Larger fleets therefore batch
 * changes for longer, within the time in which a change must take effect. Confined to one thread.
 */
public final class WatchPacing {
    private static final Duration MIN_BATCHING_DELAY = Duration.ofMillis(250);
    private static final Duration BATCHING_DELAY_PER_DAEMON = Duration.ofMillis(10);

    /** Fraction of the maximum change delay for batching; the rest is for the call and retries. */
    private static final double MAX_BATCHING_FRACTION = 0.45;

    /**
     * A watch without an answer after its timeout is replaced, which bounds how long it relies on a
     * silent connection.
     */
    private static final Duration MIN_POLL_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration MAX_POLL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration POLL_TIMEOUT_PER_DAEMON = Duration.ofMillis(40);

    private final Duration mMaxBatchingDelay;
    private int mDaemons = 1;

    /**
     * Creates the pacing of the watches of a daemon.
     *
     * @param maxChangeDelay time within which a change must take effect
     */
    public WatchPacing(Duration maxChangeDelay) {
        mMaxBatchingDelay =
                Duration.ofMillis((long) (maxChangeDelay.toMillis() * MAX_BATCHING_FRACTION));
    }

    /**
     * Sets the number of daemons that watch the store.
     *
     * @param daemons number of daemons, 1 or more
     */
    public void setDaemonCount(int daemons) {
        mDaemons = daemons;
    }

    /**
     * Returns the delay between the receipt of changes and the next call.
     *
     * @return time for which further changes are batched
     */
    public Duration batchingDelay() {
        return scaledByDaemons(BATCHING_DELAY_PER_DAEMON, MIN_BATCHING_DELAY, mMaxBatchingDelay);
    }

    /**
     * Returns the timeout of a long poll, for which the store waits for changes.
     *
     * @return timeout of the poll
     */
    public Duration pollTimeout() {
        return scaledByDaemons(POLL_TIMEOUT_PER_DAEMON, MIN_POLL_TIMEOUT, MAX_POLL_TIMEOUT);
    }

    private Duration scaledByDaemons(Duration perDaemon, Duration min, Duration max) {
        Duration scaled = perDaemon.multipliedBy(mDaemons);
        if (scaled.compareTo(min) < 0) {
            return min;
        }
        return scaled.compareTo(max) > 0 ? max : scaled;
    }
}
