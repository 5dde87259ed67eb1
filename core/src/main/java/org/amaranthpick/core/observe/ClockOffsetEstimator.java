package org.amaranthpick.core.observe;

/**
 * Estimates the offset between a sender's clock and this host's clock as the lower envelope of
 * arrival time minus send time, which the messages with the least delay define. The estimate may
 * rise slowly, so that it follows a permanent increase of the latency and clock drift.
 */
final class ClockOffsetEstimator {
    private static final double MAX_RISE_PER_MS = 0.0001;

    private double mOffsetMs = Double.NaN;
    private long mLastArrivalMs;

    /**
     * Updates the estimate with a message and converts its send time to this host's clock.
     *
     * @param sentMs send time on the sender's clock, milliseconds
     * @param arrivedMs arrival time on this host's clock, milliseconds
     * @return estimated send time on this host's clock, milliseconds
     */
    synchronized long localSendTimeMs(long sentMs, long arrivedMs) {
        double sampleMs = arrivedMs - (double) sentMs;
        if (Double.isNaN(mOffsetMs)) {
            mOffsetMs = sampleMs;
        } else {
            double riseMs = Math.max(0, arrivedMs - mLastArrivalMs) * MAX_RISE_PER_MS;
            mOffsetMs = Math.min(mOffsetMs + riseMs, sampleMs);
        }
        mLastArrivalMs = arrivedMs;
        return Math.min(arrivedMs, sentMs + Math.round(mOffsetMs));
    }
}
