package org.amaranthpick.server.store;

/** Token bucket whose rate may change. Guarded by the lock of its budget. */
final class CallBucket {
    private static final double NS_PER_SECOND = 1e9;
    private static final int MAX_DEBT_BURSTS = 10;

    private final double mMax;
    private double mCalls;
    private long mLastNs;

    CallBucket(double callsPerSecond, double burstSeconds, long nowNs) {
        mMax = Math.max(1, callsPerSecond * burstSeconds);
        mCalls = mMax;
        mLastNs = nowNs;
    }

    /** Adds what the time since the last call brought. */
    void refill(long nowNs, double callsPerSecond) {
        mCalls = Math.min(mMax, mCalls + callsPerSecond * (nowNs - mLastNs) / NS_PER_SECOND);
        mLastNs = nowNs;
    }

    boolean take() {
        if (mCalls < 1) {
            return false;
        }
        mCalls--;
        return true;
    }

    /** Takes a call that must not wait; later ones pay for it. False if too much is owed. */
    boolean borrow() {
        if (mCalls < -mMax * MAX_DEBT_BURSTS) {
            return false;
        }
        mCalls--;
        return true;
    }

    /** Returns the time until the next call may be taken. */
    long waitNs(double callsPerSecond) {
        return (long) Math.ceil(Math.max(0, 1 - mCalls) / callsPerSecond * NS_PER_SECOND);
    }

    /** Gives up what was saved, so that an outage's end is no burst. */
    void drain() {
        mCalls = Math.min(mCalls, 1);
    }
}
