package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.amaranthpick.core.invariant.Invariant;
import org.xnio.IoUtils;

/**
 * A request of a caller from its head to the end of its answer. Its steps run in here, so that it
 * ends with its true outcome whatever one of them throws, and others go on. Confined to the I/O
 * thread.
 */
final class OpenExchange {
    private final HttpServerExchange mExchange;
    private final OpenExchanges mAll;
    private String mRequestId = "";
    private String mOutcome = "none";

    /** Ends the request as interrupted or not run; returns whether it may have run. */
    private Predicate<String> mAbandon = this::endNotSent;

    private OptionalLong mLimitNs = OptionalLong.empty();
    private boolean mRead;
    private boolean mEnded;
    private boolean mFailed;
    private boolean mOverdue;
    private boolean mWritten;

    OpenExchange(HttpServerExchange exchange, OpenExchanges all) {
        mExchange = exchange;
        mAll = all;
        mRead = exchange.isRequestComplete();
    }

    void setRequestId(String requestId) {
        mRequestId = requestId;
    }

    /**
     * Records that the request has been read.
     *
     * @param timeLimit time within which it has to end
     */
    void onRead(Duration timeLimit) {
        mRead = true;
        mLimitNs = OptionalLong.of(mAll.limitNs(timeLimit));
    }

    /** Sets what ends the request if one of its steps fails; returns whether it may have run. */
    void setAbandon(Predicate<String> abandon) {
        mAbandon = abandon;
    }

    boolean isRead() {
        return mRead;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Lets the response announce that the connection closes after it, unless it has begun. */
    void closeAfterResponse() {
        if (!mExchange.isResponseStarted()) {
            mExchange.setPersistent(false);
        }
    }

    /** Records the end of the request, before its answer is sent. */
    void onEnd(String outcome) {
        mAll.invariants()
                .check(
                        Invariant.ONE_OUTCOME,
                        !mEnded,
                        "request %s ends again with %s",
                        mRequestId,
                        outcome);
        mEnded = true;
        mOutcome = outcome;
        mLimitNs = OptionalLong.of(mAll.limitNs(Duration.ZERO));
    }

    /** Runs a step; if it fails, answers the caller by whether the request may have run. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mAll.onFailed(e);
            fail("failed, " + e);
        }
    }

    /** Runs all steps, also if some of them fail; returns whether none did. */
    boolean runAll(Runnable... steps) {
        boolean sound = true;
        for (Runnable step : steps) {
            try {
                step.run();
            } catch (RuntimeException | Error e) {
                mAll.onFailed(e);
                sound = false;
            }
        }
        return sound;
    }

    /**
     * Records whether the response was written whole: Undertow also completes an exchange whose
     * connection was closed in the middle of the response.
     */
    void onComplete() {
        mWritten = mExchange.getConnection().isOpen();
    }

    /** Records that the exchange is over or its connection closed, if it has no whole answer. */
    void recordUnanswered(UnansweredRequests unanswered) {
        if (mRead && !mWritten) {
            unanswered.onEnd(mRequestId, unansweredReason(), mOutcome);
        }
    }

    private UnansweredRequests.Reason unansweredReason() {
        if (mFailed) {
            return UnansweredRequests.Reason.FAILED;
        }
        return switch (mOutcome) {
            case "none" -> UnansweredRequests.Reason.CLOSED;
            case "broken" -> UnansweredRequests.Reason.BROKEN;
            case "gone" -> UnansweredRequests.Reason.GONE;
            default -> UnansweredRequests.Reason.UNWRITTEN;
        };
    }

    /** Handles that the exchange is over or its connection closed. */
    void checkEnded() {
        mAll.invariants()
                .check(
                        Invariant.EVERY_REQUEST_ENDS,
                        mEnded || !mRead,
                        "request %s has no outcome, status %d",
                        mRequestId,
                        mExchange.getStatusCode());
    }

    /**
     * Ends a request that is over its limit for the second check in a row: the timers that were due
     * have run in between.
     */
    void checkLimit(long nowNs) {
        boolean answering = mEnded && mExchange.isResponseStarted();
        boolean overdue = !answering && mLimitNs.isPresent() && nowNs - mLimitNs.getAsLong() > 0;
        if (overdue && mOverdue) {
            mAll.invariants()
                    .check(
                            Invariant.EVERY_REQUEST_ENDS,
                            false,
                            "request %s is over its time limit, ended=%b",
                            mRequestId,
                            mEnded);
            fail("over its time limit");
        }
        mOverdue = overdue;
    }

    private void fail(String reason) {
        if (mFailed) {
            IoUtils.safeClose(mExchange.getConnection());
            return;
        }
        mFailed = true;
        boolean mayHaveRun = true;
        try {
            mayHaveRun = mAbandon.test(reason);
        } catch (RuntimeException | Error e) {
            mAll.onFailed(e);
        }
        answer(mayHaveRun);
    }

    private boolean endNotSent(String reason) {
        if (!mEnded) {
            mAll.log(mRequestId, reason);
            onEnd("refused");
        }
        return false;
    }

    private void answer(boolean mayHaveRun) {
        if (mExchange.isResponseComplete()) {
            return;
        }
        if (mExchange.isResponseStarted()) {
            IoUtils.safeClose(mExchange.getConnection());
            return;
        }
        mExchange.setPersistent(false);
        mExchange.getResponseHeaders().clear();
        try {
            mAll.sendFailure(mExchange, mRequestId, mayHaveRun);
        } catch (RuntimeException | Error e) {
            mAll.onFailed(e);
            sendStatus();
        }
    }

    /** Answers with what the step that failed has left, so that the caller isn't left alone. */
    private void sendStatus() {
        try {
            mExchange.endExchange();
        } catch (RuntimeException | Error e) {
            mAll.onFailed(e);
            IoUtils.safeClose(mExchange.getConnection());
        }
    }
}
