package org.amaranthpick.core.claim;

import java.util.concurrent.CompletionStage;

/** Claims of idempotency keys: at most one request per key runs, over all daemons. */
public interface Claims {
    /**
     * Asks for the claim of a key.
     *
     * @param key the key
     * @param requestId request that asks
     * @param bodyDigest digest of the request body; a repeat must have the same
     * @return result; {@link ClaimResult.Granted} only after the claim is durable
     */
    CompletionStage<ClaimResult> claim(ClaimKey key, String requestId, String bodyDigest);

    /**
     * Records the end of a claimed request that ran.
     *
     * @param ticket proof of the claim
     * @param answer answer to keep for repeats
     * @return completes when the answer is durable or given up; a lost answer makes repeats {@link
     *     ClaimResult.OutcomeUnknown}
     */
    CompletionStage<Void> done(ClaimTicket ticket, ClaimAnswer answer);

    /**
     * Records that a claimed request ran without a whole answer.
     *
     * @param ticket proof of the claim
     * @return completes when recorded or given up
     */
    CompletionStage<Void> lost(ClaimTicket ticket);

    /**
     * Releases the claim of a request that truly did not run, so that a repeat may run.
     *
     * @param ticket proof of the claim
     * @return completes when recorded or given up
     */
    CompletionStage<Void> release(ClaimTicket ticket);
}
