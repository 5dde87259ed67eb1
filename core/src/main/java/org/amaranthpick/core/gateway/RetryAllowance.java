package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Repeats that one daemon may send to one service in a sliding window: a share of its own requests
 * and a fixed part. The sum over all daemons stays within the budget they share, since the fixed
 * parts are shares of the whole.
 */
public final class RetryAllowance {
    private final double mRatio;
    private final DoubleSupplier mFixed;
    private final long mWindowNs;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRepeats = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param ratio repeats for each request
     * @param fixed repeats in a window beside those
     * @param window length of the window
     */
    public RetryAllowance(double ratio, DoubleSupplier fixed, Duration window) {
        mRatio = ratio;
        mFixed = fixed;
        mWindowNs = window.toNanos();
    }

    /**
     * Notes the first send of a request.
     *
     * @param nowNs monotonic time
     */
    public void onRequest(long nowNs) {
        forget(nowNs);
        mRequests.addLast(nowNs);
    }

    /**
     * Takes one repeat.
     *
     * @param nowNs monotonic time
     * @return true if the repeat may be sent
     */
    public boolean takeRepeat(long nowNs) {
        forget(nowNs);
        if (mRepeats.size() + 1 > mRatio * mRequests.size() + mFixed.getAsDouble()) {
            return false;
        }
        mRepeats.addLast(nowNs);
        return true;
    }

    private void forget(long nowNs) {
        dropOld(mRequests, nowNs);
        dropOld(mRepeats, nowNs);
    }

    private void dropOld(Deque<Long> times, long nowNs) {
        while (!times.isEmpty() && nowNs - times.peekFirst() > mWindowNs) {
            times.removeFirst();
        }
    }
}
