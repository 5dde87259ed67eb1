package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.claim.ClaimResult;

/** Creates outcomes with their messages and remedies. */
final class Outcomes {
    private Outcomes() {}

    static Outcome.NotRun leaving(Duration retryAfter) {
        return new Outcome.NotRun(
                RefusalReason.LEAVING,
                "this host is shutting down",
                "send the request again; another host will accept it",
                Optional.of(retryAfter));
    }

    static Outcome.NotRun unknownModel(String name) {
        return new Outcome.NotRun(
                RefusalReason.UNKNOWN_MODEL,
                "model version " + name + " is not configured",
                "use a pipeline of the current manifest",
                Optional.empty());
    }

    static Outcome.NotRun notRun(
            RefusalReason reason, String message, Optional<Duration> retryAfter) {
        return new Outcome.NotRun(reason, message, remedy(reason), retryAfter);
    }

    static Outcome.Interrupted interrupted(String message, boolean idempotent, int tokens) {
        String remedy =
                idempotent
                        ? "send the request again"
                        : "the request may have run; check its effects before sending it again";
        return new Outcome.Interrupted(message, remedy, tokens);
    }

    /**
     * Returns the outcome of a request whose claim was not granted.
     *
     * @param result claim result other than granted or kept
     * @param retryAfter delay after which a retry may succeed
     * @return outcome for the caller
     */
    static Outcome.NotRun claimRefused(ClaimResult result, Duration retryAfter) {
        if (result instanceof ClaimResult.InProgress) {
            return notRun(
                    RefusalReason.KEY_IN_PROGRESS,
                    "a request with this idempotency key is in progress",
                    Optional.of(retryAfter));
        }
        if (result instanceof ClaimResult.Reused) {
            return notRun(
                    RefusalReason.KEY_REUSED,
                    "this idempotency key was used with another request body",
                    Optional.empty());
        }
        if (result instanceof ClaimResult.Unavailable unavailable) {
            return notRun(
                    RefusalReason.CLAIM_UNAVAILABLE,
                    "the idempotency key cannot be claimed now: " + unavailable.reason(),
                    Optional.of(retryAfter));
        }
        return notRun(
                RefusalReason.KEY_OUTCOME_UNKNOWN,
                "an earlier request with this idempotency key may have run",
                Optional.empty());
    }

    /**
     * Describes an outcome for the decision log.
     *
     * @param outcome outcome
     * @return text of the log entry
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
        return "stored answer of an earlier request";
    }

    private static String remedy(RefusalReason reason) {
        return switch (reason) {
            case BAD_REQUEST -> "correct the request";
            case UNKNOWN_MODEL -> "use a model or service of the current manifest";
            case LIMIT_REACHED -> "send fewer requests or raise the workspace's limits";
            case QUEUE_FULL, NO_CAPACITY, LEAVING -> "send the request again later";
            case DEADLINE_UNREACHABLE -> "allow more time or request fewer tokens";
            case KEY_IN_PROGRESS -> "wait for the first request with this key";
            case KEY_OUTCOME_UNKNOWN -> "check the effects of the first request with this key";
            case KEY_REUSED -> "use a new key for another request";
            case CLAIM_UNAVAILABLE -> "send the request again later with the same key";
            case CANCELLED -> "nothing to do";
            case UPSTREAM_REFUSED -> "send the request again later";
        };
    }
}
