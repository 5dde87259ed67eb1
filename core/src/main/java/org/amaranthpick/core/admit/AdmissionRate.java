package org.amaranthpick.core.admit;

/**
 * Exponential moving averages of the interval between admissions of a group and of the duration of
 * its requests.
 */
final class AdmissionRate {
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double NS_PER_S = 1e9;

    private double mIntervalNs;
    private double mDurationNs;
    private long mLastAdmittedNs = -1;

    /** Records an admission. */
    void onAdmitted(long nowNs) {
        if (mLastAdmittedNs >= 0) {
            double intervalNs = nowNs - mLastAdmittedNs;
            mIntervalNs =
                    mIntervalNs == 0
                            ? intervalNs
                            : mIntervalNs + SMOOTHING_FACTOR * (intervalNs - mIntervalNs);
        }
        mLastAdmittedNs = nowNs;
    }

    /**
     * Discards the time of the last admission, because the queue is empty and the time until the
     * next admission says nothing about capacity.
     */
    void onIdle() {
        mLastAdmittedNs = -1;
    }

    /** Records how long a request was in progress. */
    void onEnded(long durationNs) {
        mDurationNs =
                mDurationNs == 0
                        ? durationNs
                        : mDurationNs + SMOOTHING_FACTOR * (durationNs - mDurationNs);
    }

    /**
     * Predicts the waiting time of a request.
     *
     * @param ahead number of requests ahead of it
     * @param nowNs monotonic time
     * @return nanoseconds, 0 if no interval has been recorded
     */
    long waitNs(int ahead, long nowNs) {
        double intervalNs = mIntervalNs;
        if (mLastAdmittedNs >= 0 && intervalNs > 0) {
            intervalNs =
                    Math.max(intervalNs, Math.min((double) (nowNs - mLastAdmittedNs), NS_PER_S));
        }
        return (long) (ahead * intervalNs);
    }

    /** Returns the mean duration of a request in nanoseconds, 0 if none has been recorded. */
    long meanDurationNs() {
        return (long) mDurationNs;
    }
}
