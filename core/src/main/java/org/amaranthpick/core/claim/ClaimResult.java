package org.amaranthpick.core.claim;

/** Result of an attempt to claim a key. */
public sealed interface ClaimResult {
    /**
     * The request may run; no other request holds the key or has run with it.
     *
     * @param ticket handle with which the claim is settled or released
     */
    record Granted(ClaimTicket ticket) implements ClaimResult {}

    /**
     * An earlier request completed.
     *
     * @param answer stored answer of that request
     */
    record Completed(ClaimAnswer answer) implements ClaimResult {}

    /** An earlier request is in progress. */
    record InProgress() implements ClaimResult {}

    /** An earlier request may have run; its answer is not stored. */
    record OutcomeUnknown() implements ClaimResult {}

    /** An earlier request used the key with a different request body. */
    record Reused() implements ClaimResult {}

    /**
     * The key cannot be claimed now; this request holds no claim.
     *
     * @param reason reason of the refusal
     */
    record Unavailable(String reason) implements ClaimResult {}
}
