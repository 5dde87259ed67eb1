package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Locale;

/**
 * Counts and logs the connections of callers that end without a whole answer to a request that was
 * read.
 */
final class UnansweredRequests {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final PlannedWork mPlanned;
    private final GatewayMetrics mMetrics;

    /** Why there is no whole answer. */
    enum Reason {
        /** This daemon broke the response off. */
        BROKEN,
        /** The caller left before the end of its request. */
        GONE,
        /** A step of the request failed after the response had begun. */
        FAILED,
        /** The response was not written to its end, as the connection broke or was closed. */
        UNWRITTEN,
        /** The connection was closed before the request had an outcome. */
        CLOSED;

        private boolean isOutcome() {
            return this == BROKEN || this == GONE;
        }
    }

    UnansweredRequests(PlannedWork planned, GatewayMetrics metrics) {
        mPlanned = planned;
        mMetrics = metrics;
    }

    /**
     * Records an end without a whole answer. Those whose reason is the outcome have a log line
     * already.
     *
     * @param outcome outcome in the log, {@code none} if there is none
     */
    void onEnd(String requestId, Reason reason, String outcome) {
        mMetrics.onUnanswered(reason, mPlanned.kind());
        if (!reason.isOutcome()) {
            sLogger.atInfo().log(
                    "unanswered: id=%s reason=%s outcome=%s planned=%s %s",
                    requestId,
                    reason.name().toLowerCase(Locale.ROOT),
                    outcome,
                    mPlanned.kind().name().toLowerCase(Locale.ROOT),
                    mPlanned.describe());
        }
    }
}
