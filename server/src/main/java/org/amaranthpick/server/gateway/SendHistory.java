package org.amaranthpick.server.gateway;

import java.time.Duration;
import org.amaranthpick.core.gateway.RetryBudget;

/** Counts the sends and runs of one request, and decides whether it may be sent again. */
final class SendHistory {
    /** Most sends of a request, including those that upstreams refused. */
    private static final int MAX_SENDS = 4;

    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final PromptCrashGuard mCrashGuard;
    private int mSendCount;
    private int mRunCount;
    private boolean mMayHaveRun;

    SendHistory(ForwardedRequest request, GatewayContext context, PromptCrashGuard crashGuard) {
        mRequest = request;
        mContext = context;
        mCrashGuard = crashGuard;
    }

    void onSend() {
        mSendCount++;
    }

    int sendCount() {
        return mSendCount;
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Records a response that shows that the request has run. */
    void onRun() {
        mMayHaveRun = true;
        mRunCount++;
    }

    /** Records an attempt that ends without a whole response. */
    void onBrokenOff(ForwardAttempt attempt, boolean receivedEvent) {
        onCancelled(attempt);
        if (countsAsRun(attempt, receivedEvent)) {
            mRunCount++;
        }
    }

    /** Records an attempt that is cancelled together with the request. */
    void onCancelled(ForwardAttempt attempt) {
        mMayHaveRun |= attempt.sent();
    }

    /** Returns whether the request may be sent once more, having reached no upstream. */
    boolean admitsFurtherSend() {
        return mSendCount < MAX_SENDS;
    }

    /** Acquires a retry of a request that reached an upstream and was not run there. */
    boolean acquireRetryNotRun() {
        return admitsFurtherSend() && retryBudget().tryAcquire(nowNs());
    }

    /** Acquires a retry from the budget if the route, the send limit and the time allow one. */
    boolean acquireRetry(Duration timeLeft) {
        return acquireRetry(mRunCount, timeLeft);
    }

    /** Acquires a retry in place of an attempt that is still in progress. */
    boolean acquireRetryInsteadOf(
            ForwardAttempt attempt, boolean receivedEvent, Duration timeLeft) {
        return acquireRetry(mRunCount + (countsAsRun(attempt, receivedEvent) ? 1 : 0), timeLeft);
    }

    private boolean acquireRetry(int runs, Duration timeLeft) {
        return mRequest.route().retryable()
                && mCrashGuard.admitsRetry()
                && runs < mRequest.route().maxAttempts()
                && admitsFurtherSend()
                && timeLeft.compareTo(Duration.ZERO) > 0
                && retryBudget().tryAcquire(nowNs());
    }

    /**
     * Returns whether an attempt counts as a run. A chain runs a request once it has sent an event;
     * a plain service may run it as soon as a byte was sent.
     */
    private static boolean countsAsRun(ForwardAttempt attempt, boolean receivedEvent) {
        return attempt.sent() && (attempt.target().chain().isEmpty() || receivedEvent);
    }

    private RetryBudget retryBudget() {
        return mContext.retryBudgets().forService(mRequest.service().name());
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
