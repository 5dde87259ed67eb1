package org.amaranthpick.core.placement;

/**
 * Lease as stored.
 *
 * @param holder host key of the holder
 * @param bootNonce boot nonce of the holding process
 * @param fence fencing number
 * @param durationMs time for which other daemons honour the lease after they first saw this version
 * @param released true if the holder released it
 */
record LeaseRecord(String holder, long bootNonce, long fence, long durationMs, boolean released) {

    LeaseRecord asReleased() {
        return new LeaseRecord(holder, bootNonce, fence, durationMs, true);
    }
}
