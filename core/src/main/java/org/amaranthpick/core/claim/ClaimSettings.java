package org.amaranthpick.core.claim;

import java.time.Duration;

/**
 * Settings of the claims. All but the timeouts must be the same on every daemon.
 *
 * @param shards number of shards; cannot change while journals are stored
 * @param commitInterval shortest time between two writes of a shard
 * @param maxSettleDelay longest time for which the recording of an outcome is delayed to share a
 *     write
 * @param expiry time for which a key is remembered, as promised to callers
 * @param skewMargin margin for clock skew between daemons; a key is remembered for twice this time
 *     beyond its expiry
 * @param maxHeadBytes size of a shard's head object above which settled entries move to a segment
 * @param maxShardEntries number of entries of a shard at which new claims are refused
 * @param maxShardAnswerChars length of the answers in a shard's segments, in characters, above
 *     which the oldest are dropped
 * @param acquireTimeout time within which a claim is granted or refused
 * @param peerTimeout time to wait for the owner of a shard to confirm a call before the operation
 *     is performed by this daemon
 * @param settleTimeout time for which the recording of an outcome is retried
 * @param releaseTimeout time for which the recording of a release is retried
 * @param maxRequestTime age of a claim above which its request counts as lost
 * @param maxCopyAge age of the cached journal above which it is read again before an operation is
 *     refused
 */
public record ClaimSettings(
        int shards,
        Duration commitInterval,
        Duration maxSettleDelay,
        Duration expiry,
        Duration skewMargin,
        int maxHeadBytes,
        int maxShardEntries,
        int maxShardAnswerChars,
        Duration acquireTimeout,
        Duration peerTimeout,
        Duration settleTimeout,
        Duration releaseTimeout,
        Duration maxRequestTime,
        Duration maxCopyAge) {

    /**
     * Returns the settings for 440 daemons and a store that takes several hundred writes a second.
     *
     * @return default settings
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                64,
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofHours(24),
                Duration.ofMinutes(5),
                64_000,
                200_000,
                2_000_000,
                Duration.ofSeconds(3),
                Duration.ofMillis(1200),
                Duration.ofMinutes(1),
                Duration.ofHours(1),
                Duration.ofMinutes(10),
                Duration.ofSeconds(2));
    }
}
