package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.claim.ClaimResult;

/** Outcomes with their messages and remedies. */
final class Outcomes {
    private Outcomes() {}

    static Outcome.NotRun leaving(Duration retryAfter) {
        return new Outcome.NotRun(
                RefusalReason.LEAVING,
                "this host is leaving",
                "send the request again; another host will take it",
                Optional.of(retryAfter));
    }

    static Outcome.NotRun unknownModel(String name) {
        return new Outcome.NotRun(
                RefusalReason.UNKNOWN_MODEL,
                "model version " + name + " is not configured",
                "name a pipeline of the manifest in force",
                Optional.empty());
    }

    static Outcome.NotRun notRun(
            RefusalReason reason, String message, Optional<Duration> retryAfter) {
        return new Outcome.NotRun(reason, message, remedyOf(reason), retryAfter);
    }

    static Outcome.Interrupted interrupted(String message, boolean idempotent, int tokens) {
        String remedy =
                idempotent
                        ? "send the request again"
                        : "it may have run; check its effect before sending it again";
        return new Outcome.Interrupted(message, remedy, tokens);
    }

    /**
     * Tells why a key was not granted.
     *
     * @param result result other than granted or kept
     * @param later when to come back, where that helps
     * @return outcome
     */
    static Outcome.NotRun notGranted(ClaimResult result, Duration later) {
        if (result instanceof ClaimResult.InProgress) {
            return notRun(
                    RefusalReason.KEY_IN_PROGRESS,
                    "a request with this key is in progress",
                    Optional.of(later));
        }
        if (result instanceof ClaimResult.Reused) {
            return notRun(
                    RefusalReason.KEY_REUSED,
                    "this key was used with another request body",
                    Optional.empty());
        }
        if (result instanceof ClaimResult.Unavailable unavailable) {
            return notRun(
                    RefusalReason.CLAIM_UNAVAILABLE,
                    "the key cannot be claimed now: " + unavailable.reason(),
                    Optional.of(later));
        }
        return notRun(
                RefusalReason.KEY_OUTCOME_UNKNOWN,
                "an earlier request with this key may have run",
                Optional.empty());
    }

    /**
     * Describes an outcome for the decision log.
     *
     * @param outcome outcome
     * @return short sentence
     */
    static String describe(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return "answered with " + answered.tokens() + " tokens, " + answered.finishReason();
        }
        if (outcome instanceof Outcome.NotRun notRun) {
            return "not run, " + notRun.reason().label() + ": " + notRun.message();
        }
        if (outcome instanceof Outcome.Interrupted interrupted) {
            return "interrupted after "
                    + interrupted.tokens()
                    + " tokens: "
                    + interrupted.message();
        }
        return "kept answer of an earlier request";
    }

    private static String remedyOf(RefusalReason reason) {
        return switch (reason) {
            case BAD_REQUEST -> "correct the request";
            case UNKNOWN_MODEL -> "name a model or service of the manifest in force";
            case LIMIT_REACHED -> "send fewer requests or raise the workspace's limits";
            case QUEUE_FULL, NO_CAPACITY, LEAVING -> "send the request again later";
            case DEADLINE_UNREACHABLE -> "allow more time or ask for fewer tokens";
            case KEY_IN_PROGRESS -> "wait for the first request with this key";
            case KEY_OUTCOME_UNKNOWN -> "check the effect of the first request with this key";
            case KEY_REUSED -> "use a new key for another request";
            case CLAIM_UNAVAILABLE -> "send the request again later with the same key";
            case CANCELLED -> "nothing to do";
            case UPSTREAM_REFUSED -> "send the request again later";
        };
    }
}
