package org.amaranthpick.core.store;

import java.time.Duration;

/**
 * Computes how often a watch calls the store. A change ends the long poll of every daemon, so that
 * the number of calls grows with the product of changes and daemons. A change that comes after a
 * calm is followed by the next poll soon. While changes keep coming, as when engines fail, load and
 * come back, larger fleets batch them for longer, within the time in which a change must take
 * effect. Confined to one thread.
 */
public final class WatchPacing {
    /** Number of daemons assumed until it is known; high, as all daemons may start at once. */
    private static final int INITIAL_DAEMONS = 40;

    private static final Duration CALM_BATCHING_DELAY = Duration.ofMillis(250);
    private static final Duration BATCHING_DELAY_PER_DAEMON = Duration.ofMillis(30);

    private final FollowTimings mTimings;
    private int mDaemons = INITIAL_DAEMONS;

    /**
     * Creates the pacing of the watches of a daemon.
     *
     * @param timings times derived from the bounds of the deployment
     */
    public WatchPacing(FollowTimings timings) {
        mTimings = timings;
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
     * @param sinceLastChanges time since the watch received changes before
     * @return time for which further changes are batched
     */
    public Duration batchingDelay(Duration sinceLastChanges) {
        Duration maxDelay = mTimings.maxBatching();
        if (sinceLastChanges.compareTo(maxDelay.multipliedBy(2)) > 0) {
            return CALM_BATCHING_DELAY;
        }
        Duration scaled = BATCHING_DELAY_PER_DAEMON.multipliedBy(mDaemons);
        if (scaled.compareTo(CALM_BATCHING_DELAY) < 0) {
            return CALM_BATCHING_DELAY;
        }
        return scaled.compareTo(maxDelay) > 0 ? maxDelay : scaled;
    }

    /**
     * Returns the times derived from the bounds of the deployment.
     *
     * @return times
     */
    public FollowTimings timings() {
        return mTimings;
    }
}
