package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reports for one request whether its prompt is answered or may have crashed an engine, and checks
 * whether it is in quarantine.
 */
final class PromptCrashGuard {
    /** Time for which an engine must have been sending events to show that it does not crash. */
    private static final Duration MIN_ANSWERING_TIME = Duration.ofMillis(500);

    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private OptionalLong mFirstEventNs = OptionalLong.empty();
    private long mReportedNs;

    PromptCrashGuard(ForwardedRequest request, GatewayContext context) {
        mRequest = request;
        mContext = context;
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
        mContext.quarantine().onAnswered(mRequest.metadata().sharedPromptParts(), nowNs());
    }

    /** Handles the loss of the response to an attempt. */
    void onLost(ForwardAttempt attempt) {
        boolean answering =
                mFirstEventNs.isPresent()
                        && nowNs() - mFirstEventNs.getAsLong() >= MIN_ANSWERING_TIME.toNanos();
        if (attempt.sent() && attempt.target().chain().isPresent() && !answering) {
            mContext.crashes()
                    .onResponseLost(
                            attempt.target().upstream(), mRequest.metadata().sharedPromptParts());
        }
    }

    /** Returns how much longer the request is not sent, empty if its prompt is not quarantined. */
    Optional<Duration> quarantineTimeLeft() {
        return mContext.quarantine().timeLeft(mRequest.metadata().sharedPromptParts(), nowNs());
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }
}
