package org.amaranthpick.core.claim;

import java.util.Optional;

/**
 * State of one key.
 *
 * @param key hash of the key
 * @param state its state
 * @param requestHash hash of the request and daemon that claimed it
 * @param bodyHash hash of the request body
 * @param claimedAtMs wall-clock time of the claim, milliseconds
 * @param holder host key of the daemon that claimed it
 * @param answer kept answer, for DONE only
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
     * Returns this entry in its last state; its holder no longer matters.
     *
     * @param newState DONE or LOST
     * @param newAnswer answer to keep
     * @return changed copy
     */
    ClaimEntry settled(ClaimState newState, Optional<ClaimAnswer> newAnswer) {
        return new ClaimEntry(key, newState, requestHash, bodyHash, claimedAtMs, "", newAnswer);
    }

    /**
     * Returns this entry without its answer.
     *
     * @return changed copy; a repeat is then told that the outcome is unknown
     */
    ClaimEntry withoutAnswer() {
        return settled(state, Optional.empty());
    }
}
