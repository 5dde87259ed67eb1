package org.amaranthpick.core.claim;

import java.util.concurrent.CompletionStage;

/**
 * Claims of idempotency keys, by which at most one request per key runs on all daemons together.
 */
public interface Claims {
    /**
     * Claims a key for a request.
     *
     * @param key key to claim
     * @param requestId ID of the request
     * @param bodyDigest digest of the request body; a repeat must have the same digest
     * @return result; {@link ClaimResult.Granted} only once the claim is durable
     */
    CompletionStage<ClaimResult> claim(ClaimKey key, String requestId, String bodyDigest);

    /**
     * Records that the request of a claim completed.
     *
     * @param ticket handle of the claim
     * @param answer answer to store for repeats
     * @return completes when the answer is stored or its time to be stored has passed; without a
     *     stored answer repeats receive {@link ClaimResult.OutcomeUnknown}
     */
    CompletionStage<Void> complete(ClaimTicket ticket, ClaimAnswer answer);

    /**
     * Records that the request of a claim may have run but has no complete answer.
     *
     * @param ticket handle of the claim
     * @return completes when this is stored or its time to be stored has passed
     */
    CompletionStage<Void> markLost(ClaimTicket ticket);

    /**
     * Releases the claim of a request that certainly did not run, so that a repeat may run.
     *
     * @param ticket handle of the claim
     * @return completes when this is stored or its time to be stored has passed
     */
    CompletionStage<Void> release(ClaimTicket ticket);
}
