package org.amaranthpick.core.claim;

import java.util.Optional;

/** Operation on a shard's journal. Repeating one changes nothing more. */
sealed interface ClaimOperation {
    /**
     * Returns the key operated on.
     *
     * @return hash of the key
     */
    KeyHash key();

    /**
     * Returns the request that operates.
     *
     * @return hash of request and daemon
     */
    long requestHash();

    /**
     * Asks for the claim.
     *
     * @param key hash of the key
     * @param requestHash hash of request and daemon
     * @param bodyHash hash of the request body
     * @param holder host key of the daemon that asks
     */
    record Ask(KeyHash key, long requestHash, long bodyHash, String holder)
            implements ClaimOperation {}

    /**
     * Settles the claim.
     *
     * @param key hash of the key
     * @param requestHash hash of request and daemon
     * @param state DONE, LOST or RELEASED
     * @param answer answer to keep, for DONE only
     */
    record Settle(KeyHash key, long requestHash, ClaimState state, Optional<ClaimAnswer> answer)
            implements ClaimOperation {}
}
