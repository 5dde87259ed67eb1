package org.amaranthpick.core.claim;

import java.util.Optional;

/**
 * Journal entry of one idempotency key.
 *
 * @param key hash of the key
 * @param state state of the claim
 * @param requestHash hash of the request and the daemon that claimed the key
 * @param bodyHash hash of the request body
 * @param claimedAtMs wall-clock time of the claim in milliseconds
 * @param holder host key of the daemon that claimed the key, empty once settled
 * @param answer stored answer, for DONE only
 */
record ClaimEntry(
        KeyHash key,
        ClaimState state,
        long requestHash,
        long bodyHash,
        long claimedAtMs,
        String holder,
        Optional<ClaimAnswer> answer) {

    /**
     * Returns a copy of this entry in a final state, without its holder.
     *
     * @param newState DONE or LOST
     * @param newAnswer answer to store
     * @return settled copy
     */
    ClaimEntry settled(ClaimState newState, Optional<ClaimAnswer> newAnswer) {
        return new ClaimEntry(key, newState, requestHash, bodyHash, claimedAtMs, "", newAnswer);
    }

    /**
     * Returns a copy of this entry without its answer; repeats then receive an unknown outcome.
     *
     * @return copy without an answer
     */
    ClaimEntry withoutAnswer() {
        return settled(state, Optional.empty());
    }
}
