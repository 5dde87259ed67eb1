package org.amaranthpick.core.gateway;

import java.time.Duration;

/**
 * Adaptive timeout after which the upstream of a silent attempt is queried. Designed for the crash
 * of an engine in the middle of a chain: the stream stalls for seconds unless another chain resumes
 * it, while a timeout below the usual pause would query every busy engine.
 */
public final class SilenceTimeout {
    /** Fraction of the latency objective after which a missing first event counts as silence. */
    private static final double FIRST_EVENT_FRACTION = 0.4;

    /** Number of usual pauses after which a stream counts as silent. */
    private static final double USUAL_PAUSES = 3.5;

    /** Upper bound of the timeout between events, as a fraction of the gap objective. */
    private static final double MAX_FRACTION_OF_TARGET_GAP = 0.9;

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(80);

    /** Weight of the newest pause in the exponentially weighted moving average. */
    private static final double EWMA_WEIGHT = 0.15;

    /** Factor on the timeout after a query that found no stall. */
    private static final double FALSE_ALARM_FACTOR = 2;

    private final GatewayRoute mRoute;
    private boolean mEventReceived;
    private double mUsualPauseMs;
    private double mFactor = 1;

    /**
     * Creates a timeout for one request.
     *
     * @param route route of the request
     */
    public SilenceTimeout(GatewayRoute route) {
        mRoute = route;
    }

    /**
     * Creates a timeout that has recorded the same events.
     *
     * @return independent timeout
     */
    public SilenceTimeout copy() {
        SilenceTimeout copy = new SilenceTimeout(mRoute);
        copy.mEventReceived = mEventReceived;
        copy.mUsualPauseMs = mUsualPauseMs;
        copy.mFactor = mFactor;
        return copy;
    }

    /** Resets the timeout for a new attempt, whose first event takes longer than later ones. */
    public void onAttempt() {
        mEventReceived = false;
        mFactor = 1;
    }

    /** Extends the timeout after a query that found no stalled engine. */
    public void onFalseAlarm() {
        mFactor *= FALSE_ALARM_FACTOR;
    }

    /**
     * Records an event.
     *
     * @param pause time since the previous event, or since the attempt began
     */
    public void onEvent(Duration pause) {
        double pauseMs = millis(pause);
        if (!mEventReceived) {
            mEventReceived = true;
        } else if (mUsualPauseMs == 0) {
            mUsualPauseMs = pauseMs;
        } else {
            mUsualPauseMs += EWMA_WEIGHT * (pauseMs - mUsualPauseMs);
        }
    }

    /**
     * Checks whether the attempt has returned an event.
     *
     * @return true from the first event on
     */
    public boolean hasReceivedEvent() {
        return mEventReceived;
    }

    /**
     * Returns the current timeout.
     *
     * @return silence after which the upstream is queried
     */
    public Duration timeout() {
        if (mRoute.kind() != RequestKind.STREAM) {
            return scaled(millis(mRoute.targetLatency()));
        }
        if (!mEventReceived) {
            return scaled(millis(mRoute.targetLatency()) * FIRST_EVENT_FRACTION);
        }
        Duration objective = mRoute.targetGap().orElse(mRoute.targetLatency());
        double maxMs = millis(objective) * MAX_FRACTION_OF_TARGET_GAP;
        return scaled(Math.min(maxMs, mUsualPauseMs * USUAL_PAUSES));
    }

    /**
     * Checks whether a silence is clearly longer than the usual pause. This shorter bound applies
     * once another request has shown that an engine does not respond.
     *
     * @param silence time since the last event
     * @return true if it is clearly longer
     */
    public boolean isLongerThanUsual(Duration silence) {
        return millis(silence) >= Math.max(millis(MIN_TIMEOUT) / 2, mUsualPauseMs * 2);
    }

    private Duration scaled(double ms) {
        return Duration.ofMillis((long) (mFactor * Math.max(millis(MIN_TIMEOUT), ms)));
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / 1e6;
    }
}
