package org.amaranthpick.core.claim;

import java.util.Optional;

/** Idempotent operation on a shard's journal. */
sealed interface ClaimOperation {
    /**
     * Returns the key whose claim the operation acquires or settles.
     *
     * @return hash of the key
     */
    KeyHash key();

    /**
     * Returns the hash that identifies the request.
     *
     * @return hash of the request and the daemon
     */
    long requestHash();

    /**
     * Acquires the claim of a key.
     *
     * @param key hash of the key
     * @param requestHash hash of the request and the daemon
     * @param bodyHash hash of the request body
     * @param holder host key of the daemon that acquires the claim
     */
    record Acquire(KeyHash key, long requestHash, long bodyHash, String holder)
            implements ClaimOperation {}

    /**
     * Records how the request that holds the claim ended.
     *
     * @param key hash of the key
     * @param requestHash hash of the request and the daemon
     * @param state final state: DONE, LOST or RELEASED
     * @param answer answer to store, for DONE only
     */
    record Settle(KeyHash key, long requestHash, ClaimState state, Optional<ClaimAnswer> answer)
            implements ClaimOperation {}
}
