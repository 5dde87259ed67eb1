package org.amaranthpick.core.admit;

/** Token bucket on a monotonic clock. Its balance may be negative after a correction. */
final class TokenBucket {
    private static final double NS_PER_S = 1e9;

    private double mPerSecond;
    private double mCapacity;
    private double mBalance;
    private long mAtNs;

    /**
     * Creates a bucket.
     *
     * @param perSecond rate
     * @param capacity largest balance
     * @param balance balance at the start
     * @param nowNs monotonic time
     */
    TokenBucket(double perSecond, double capacity, double balance, long nowNs) {
        mPerSecond = perSecond;
        mCapacity = capacity;
        mBalance = balance;
        mAtNs = nowNs;
    }

    void setRate(double perSecond, double capacity, long nowNs) {
        balance(nowNs);
        mPerSecond = perSecond;
        mCapacity = capacity;
        mBalance = Math.min(mBalance, capacity);
    }

    double balance(long nowNs) {
        double earned = Math.max(0, nowNs - mAtNs) / NS_PER_S * mPerSecond;
        mBalance = Math.min(mCapacity, mBalance + earned);
        mAtNs = nowNs;
        return mBalance;
    }

    void add(double amount) {
        mBalance = Math.min(mCapacity, mBalance + amount);
    }
}
