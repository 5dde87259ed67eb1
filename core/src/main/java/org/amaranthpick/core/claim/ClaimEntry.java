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
     * Makes the entry of a request that was given up before its claim was seen.
     *
     * @param settle release of the request
     * @param nowMs wall-clock time, milliseconds
     * @return entry by which a late ask of the request is refused
     */
    static ClaimEntry releasedUnseen(ClaimOperation.Settle settle, long nowMs) {
        return new ClaimEntry(
                settle.key(),
                ClaimState.RELEASED,
                settle.requestHash(),
                0,
                nowMs,
                "",
                Optional.empty());
    }

    /**
     * Returns this entry in its last state; its holder no longer matters.
     *
     * @param newState DONE, LOST or RELEASED
     * @param newAnswer answer to keep
     * @return changed copy
     */
    ClaimEntry settled(ClaimState newState, Optional<ClaimAnswer> newAnswer) {
        return new ClaimEntry(key, newState, requestHash, bodyHash, claimedAtMs, "", newAnswer);
    }
}
