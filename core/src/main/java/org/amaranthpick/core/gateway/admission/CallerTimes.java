package org.amaranthpick.core.gateway.admission;

import java.time.Duration;

/**
 * Finds out how long the caller of a request of one route has waited already, on earlier attempts
 * that were refused: it has less time left than other callers of the route. Callers may all allow
 * less time than the route does, so what counts is the longest time of late, never above that of
 * the route. Designed for callers that come back: their request is older than it looks.
 */
final class CallerTimes {
    private static final long WINDOW_NS = 30_000_000_000L;

    private Duration mLongest = Duration.ZERO;
    private Duration mPreviousLongest = Duration.ZERO;
    private long mWindowNs;

    /**
     * Records a request and returns its age on arrival.
     *
     * @param timeLimit time that the caller allows, at most that of the route
     * @param nowNs monotonic time
     * @return time since the first attempt, as far as it can be told
     */
    Duration age(Duration timeLimit, long nowNs) {
        if (nowNs - mWindowNs >= WINDOW_NS) {
            mPreviousLongest = mLongest;
            mLongest = Duration.ZERO;
            mWindowNs = nowNs;
        }
        if (timeLimit.compareTo(mLongest) > 0) {
            mLongest = timeLimit;
        }
        Duration usual = mLongest.compareTo(mPreviousLongest) > 0 ? mLongest : mPreviousLongest;
        return usual.minus(timeLimit);
    }
}
