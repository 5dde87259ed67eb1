package org.amaranthpick.core.gateway;

import java.time.Duration;

/**
 * How long an attempt may be silent before its upstream is asked about it. Answers the load in
 * which an engine in the middle of a chain dies: the stream stalls for seconds unless it goes on
 * elsewhere, while a limit below the usual pause would ask about every busy engine.
 */
public final class SilenceLimit {
    /** Part of the objective that the first event may take. */
    private static final double FIRST_OF_OBJECTIVE = 0.4;

    /** Usual pauses that make a silence. */
    private static final double PAUSES = 3.5;

    /** Part of the objective of a pause that a silence is never longer than. */
    private static final double LONGEST_OF_PAUSE_OBJECTIVE = 0.9;

    private static final Duration SHORTEST = Duration.ofMillis(80);

    /** Weight of the newest pause in the average. */
    private static final double NEWEST = 0.15;

    /** Growth of the limit after a question that found nothing. */
    private static final double GROWTH = 2;

    private final GatewayRoute mRoute;
    private boolean mEvents;
    private double mUsualPauseMs;
    private double mFactor = 1;

    /**
     * Creates a limit for one request.
     *
     * @param route route of the request
     */
    public SilenceLimit(GatewayRoute route) {
        mRoute = route;
    }

    /** Notes that an attempt begins, whose first event takes longer than a pause. */
    public void onAttempt() {
        mEvents = false;
        mFactor = 1;
    }

    /** Notes that the upstream was asked and knows nothing that the request waits for. */
    public void onFalseAlarm() {
        mFactor *= GROWTH;
    }

    /**
     * Notes that an event came.
     *
     * @param pause time since the event before it, or since the attempt began
     */
    public void onEvent(Duration pause) {
        double pauseMs = millis(pause);
        if (!mEvents) {
            mEvents = true;
        } else if (mUsualPauseMs == 0) {
            mUsualPauseMs = pauseMs;
        } else {
            mUsualPauseMs += NEWEST * (pauseMs - mUsualPauseMs);
        }
    }

    /**
     * Tells whether the attempt brought an event.
     *
     * @return true from the first event on
     */
    public boolean sawEvent() {
        return mEvents;
    }

    /**
     * Returns the limit in force.
     *
     * @return longest silence
     */
    public Duration limit() {
        if (mRoute.kind() != RequestKind.STREAM) {
            return scaled(millis(mRoute.targetLatency()));
        }
        if (!mEvents) {
            return scaled(millis(mRoute.targetLatency()) * FIRST_OF_OBJECTIVE);
        }
        Duration objective = mRoute.targetGap().orElse(mRoute.targetLatency());
        double longestMs = millis(objective) * LONGEST_OF_PAUSE_OBJECTIVE;
        return scaled(Math.min(longestMs, mUsualPauseMs * PAUSES));
    }

    /**
     * Tells whether a silence is long enough to be no usual pause, once another request has shown
     * that an engine does not answer.
     *
     * @param silence time since the last event
     * @return true if it is
     */
    public boolean isLong(Duration silence) {
        return millis(silence) >= Math.max(millis(SHORTEST) / 2, mUsualPauseMs * 2);
    }

    private Duration scaled(double ms) {
        return Duration.ofMillis((long) (mFactor * Math.max(millis(SHORTEST), ms)));
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / 1e6;
    }
}
