package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.quarantine.PromptQuarantine;

/**
 * Reports for one request whether it is answered or may have crashed an upstream, and checks
 * whether it or a part of its prompt is in quarantine.
 */
final class PromptCrashGuard {
    /** Time for which an engine must have been sending events to show that it does not crash. */
    private static final Duration MIN_ANSWERING_TIME = Duration.ofMillis(500);

    private final GatewayContext mContext;
    private final String mRequestPart;
    private final List<String> mParts;
    private boolean mTrial;
    private int mLossCount;
    private OptionalLong mFirstEventNs = OptionalLong.empty();
    private long mReportedNs;

    PromptCrashGuard(ForwardedRequest request, GatewayContext context) {
        mContext = context;
        mRequestPart = PromptQuarantine.requestPart(request.digest());
        mParts = new ArrayList<>(request.metadata().sharedPromptParts());
        mParts.add(mRequestPart);
    }

    /** Returns whether the request may be sent, if need be as the trial of a quarantine. */
    boolean admits() {
        mTrial =
                quarantineTimeLeft().isPresent()
                        && mContext.quarantine().acquireTrial(mParts, mContext.host(), nowNs());
        return mTrial || quarantineTimeLeft().isEmpty();
    }

    /** Returns whether the request may be sent to another upstream after a loss. */
    boolean admitsRetry() {
        return !mTrial
                && (mLossCount < PromptQuarantine.MAX_LOSSES_OF_REQUEST
                        || !mContext.quarantine().isSuspected(mRequestPart));
    }

    /** Handles the start of an attempt. */
    void onAttempt() {
        mFirstEventNs = OptionalLong.empty();
    }

    /** Handles an event of the current attempt; reports at intervals that they keep coming. */
    void onEvent() {
        long nowNs = nowNs();
        if (mFirstEventNs.isEmpty()) {
            mFirstEventNs = OptionalLong.of(nowNs);
            mReportedNs = nowNs;
        } else if (nowNs - mReportedNs >= MIN_ANSWERING_TIME.toNanos()) {
            mReportedNs = nowNs;
            onAnswered();
        }
    }

    /** Handles the complete end of a stream. One without events says nothing of its prompt. */
    void onStreamEnd() {
        if (mFirstEventNs.isPresent()) {
            onAnswered();
        }
    }

    /** Handles a complete response. */
    void onAnswered() {
        mContext.quarantine().onAnswered(mParts, nowNs());
    }

    /** Handles the loss of the response to an attempt, of which events may have been received. */
    void onLost(ForwardAttempt attempt, boolean receivedEvent) {
        boolean answering =
                receivedEvent
                        && mFirstEventNs.isPresent()
                        && nowNs() - mFirstEventNs.getAsLong() >= MIN_ANSWERING_TIME.toNanos();
        if (attempt.sent() && !answering) {
            mLossCount++;
            mContext.crashes().onResponseLost(attempt.target().upstream(), mParts);
        }
    }

    /** Returns how much longer the request is not sent, empty if it may be. */
    Optional<Duration> quarantineTimeLeft() {
        return mTrial ? Optional.empty() : mContext.quarantine().timeLeft(mParts, nowNs());
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
