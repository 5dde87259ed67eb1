package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.register.UpstreamEntry;

/** Writes the log lines of one request. */
final class ExchangeLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Outcomes of requests to which no upstream's whole answer was passed on. */
    private static final Set<String> UNANSWERED =
            Set.of("broken", "gone", "interrupted", "timeout");

    private final ForwardedRequest mRequest;
    private final PlannedWork mPlanned;

    ExchangeLog(ForwardedRequest request, PlannedWork planned) {
        mRequest = request;
        mPlanned = planned;
    }

    /** Logs an observation of an upstream's health. */
    void logHealth(UpstreamEntry upstream, String reason) {
        sLogger.atInfo().log(
                "health: upstream=%s address=%s reason=\"%s\" request=%s",
                upstream.id(), upstream.address(), reason, mRequest.metadata().requestId());
    }

    /**
     * Logs an attempt or the outcome of the request. One without an answer also names the version
     * of the configuration that is in force at its end.
     */
    void logRequest(String outcome, int sends, Duration elapsed, String detail) {
        sLogger.atInfo().log(
                "request: id=%s outcome=%s route=%s config=%d sends=%d elapsed_ms=%d"
                        + " detail=\"%s\"%s",
                mRequest.metadata().requestId(),
                outcome,
                mRequest.route().name(),
                mRequest.configVersion(),
                sends,
                elapsed.toMillis(),
                detail,
                UNANSWERED.contains(outcome) ? " " + mPlanned.describe() : "");
    }

    /** Logs what the request was doing at an upstream whose response is lost. */
    void logLoss(UpstreamEntry upstream, boolean events, Duration elapsed, String reason) {
        sLogger.atInfo().log(
                "lost: upstream=%s address=%s request=%s route=%s events=%b elapsed_ms=%d"
                        + " digest=%s parts=%s reason=\"%s\"",
                upstream.id(),
                upstream.address(),
                mRequest.metadata().requestId(),
                mRequest.route().name(),
                events,
                elapsed.toMillis(),
                mRequest.digest(),
                mRequest.metadata().sharedPromptParts(),
                reason);
    }

    static String describe(Target target) {
        return target.chain().map(Object::toString).orElse(target.upstream().address());
    }
}
