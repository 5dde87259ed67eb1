package org.amaranthpick.core.observe;

/**
 * Offset between a sender's clock and this host's, as the lower envelope of arrival time minus send
 * time: the least delayed messages define it. It creeps up slowly, so that a lasting rise of the
 * latency or a clock that drifts is followed.
 */
final class ClockOffset {
    private static final double CREEP_PER_MS = 0.0001;

    private double mOffsetMs = Double.NaN;
    private long mLastArrivalMs;

    /**
     * Takes one message.
     *
     * @param sentMs sender's clock when it sent, milliseconds
     * @param arrivedMs this host's clock at arrival, milliseconds
     * @return estimate of the send time on this host's clock, milliseconds
     */
    synchronized long localTime(long sentMs, long arrivedMs) {
        double raw = arrivedMs - (double) sentMs;
        if (Double.isNaN(mOffsetMs)) {
            mOffsetMs = raw;
        } else {
            double creep = Math.max(0, arrivedMs - mLastArrivalMs) * CREEP_PER_MS;
            mOffsetMs = Math.min(mOffsetMs + creep, raw);
        }
        mLastArrivalMs = arrivedMs;
        return Math.min(arrivedMs, sentMs + Math.round(mOffsetMs));
    }
}
