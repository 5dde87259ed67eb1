package org.amaranthpick.core.claim;

/** Result of asking for a claim. */
public sealed interface ClaimResult {
    /**
     * This request may run; nobody else holds or held the key.
     *
     * @param ticket proof to hand back when it is sent, done or released
     */
    record Granted(ClaimTicket ticket) implements ClaimResult {}

    /**
     * An earlier request ran to its end.
     *
     * @param answer its answer
     */
    record Kept(ClaimAnswer answer) implements ClaimResult {}

    /** An earlier request is in progress. */
    record InProgress() implements ClaimResult {}

    /** An earlier request may have run and its answer was lost. */
    record OutcomeUnknown() implements ClaimResult {}

    /** The key was used before with another request body. */
    record Reused() implements ClaimResult {}

    /**
     * No claim can be made now; nothing was claimed for this request.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements ClaimResult {}
}
