package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Budget of retries from one daemon to one service in a sliding window: a ratio of the daemon's own
 * requests plus a fixed number. All daemons together stay within the total budget, since the fixed
 * number is this daemon's share of a total.
 */
public final class RetryBudget {
    private final double mRatio;
    private final DoubleSupplier mFixed;
    private final long mWindowNs;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries for each request
     * @param fixed additional retries in each window
     * @param window length of the window
     */
    public RetryBudget(double ratio, DoubleSupplier fixed, Duration window) {
        mRatio = ratio;
        mFixed = fixed;
        mWindowNs = window.toNanos();
    }

    /**
     * Records the first attempt of a request.
     *
     * @param nowNs monotonic time
     */
    public void onRequest(long nowNs) {
        expireOld(nowNs);
        mRequests.addLast(nowNs);
    }

    /**
     * Takes one retry from the budget if there is any left.
     *
     * @param nowNs monotonic time
     * @return true if the retry may be sent
     */
    public boolean tryAcquire(long nowNs) {
        expireOld(nowNs);
        if (mRetries.size() + 1 > mRatio * mRequests.size() + mFixed.getAsDouble()) {
            return false;
        }
        mRetries.addLast(nowNs);
        return true;
    }

    private void expireOld(long nowNs) {
        removeExpired(mRequests, nowNs);
        removeExpired(mRetries, nowNs);
    }

    private void removeExpired(Deque<Long> times, long nowNs) {
        while (!times.isEmpty() && nowNs - times.peekFirst() > mWindowNs) {
            times.removeFirst();
        }
    }
}
