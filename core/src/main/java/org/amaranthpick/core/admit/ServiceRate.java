package org.amaranthpick.core.admit;

/** Rate at which a group admits requests and how long these take, as moving averages. */
final class ServiceRate {
    private static final double STEP = 0.05;
    private static final double NS_PER_S = 1e9;

    private double mGapNs;
    private double mHeldNs;
    private long mLastNs = -1;

    /** Notes an admission out of the queue. */
    void onAdmitted(long nowNs) {
        if (mLastNs >= 0) {
            double gapNs = nowNs - mLastNs;
            mGapNs = mGapNs == 0 ? gapNs : mGapNs + STEP * (gapNs - mGapNs);
        }
        mLastNs = nowNs;
    }

    /** Forgets the time since the last admission, since nothing waited meanwhile. */
    void onIdle() {
        mLastNs = -1;
    }

    /** Notes how long a request was in progress. */
    void onEnded(long heldNs) {
        mHeldNs = mHeldNs == 0 ? heldNs : mHeldNs + STEP * (heldNs - mHeldNs);
    }

    /**
     * Predicts the wait behind others.
     *
     * @param ahead requests ahead
     * @param nowNs monotonic time
     * @return nanoseconds, 0 while nothing is known
     */
    long waitNs(int ahead, long nowNs) {
        double gapNs = mGapNs;
        if (mLastNs >= 0 && gapNs > 0) {
            gapNs = Math.max(gapNs, Math.min((double) (nowNs - mLastNs), NS_PER_S));
        }
        return (long) (ahead * gapNs);
    }

    /** Returns the mean time in progress, in nanoseconds, 0 while nothing is known. */
    long heldNs() {
        return (long) mHeldNs;
    }
}
