package org.amaranthpick.core.admit;

/**
 * Token bucket on a monotonic clock. Its balance becomes negative if more is taken than it holds.
 */
final class TokenBucket {
    private static final double NS_PER_S = 1e9;

    private double mRatePerSecond;
    private double mCapacity;
    private double mBalance;
    private long mUpdatedNs;

    /**
     * Creates a bucket.
     *
     * @param perSecond refill rate
     * @param capacity maximum balance
     * @param balance initial balance
     * @param nowNs monotonic time
     */
    TokenBucket(double perSecond, double capacity, double balance, long nowNs) {
        mRatePerSecond = perSecond;
        mCapacity = capacity;
        mBalance = balance;
        mUpdatedNs = nowNs;
    }

    void setRate(double perSecond, double capacity, long nowNs) {
        balance(nowNs);
        mRatePerSecond = perSecond;
        mCapacity = capacity;
        mBalance = Math.min(mBalance, capacity);
    }

    double balance(long nowNs) {
        double earned = Math.max(0, nowNs - mUpdatedNs) / NS_PER_S * mRatePerSecond;
        mBalance = Math.min(mCapacity, mBalance + earned);
        mUpdatedNs = nowNs;
        return mBalance;
    }

    void add(double amount) {
        mBalance = Math.min(mCapacity, mBalance + amount);
    }
}
