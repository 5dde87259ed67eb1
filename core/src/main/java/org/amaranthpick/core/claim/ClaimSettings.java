package org.amaranthpick.core.claim;

import java.time.Duration;

/**
 * Settings of the claims; the same on every daemon but for the timeouts.
 *
 * @param shards number of shards, fixed for the life of the stored journals
 * @param commitInterval least time between two writes of one shard
 * @param settleLinger longest time that settling alone waits for a claim to share its write
 * @param expiry time for which a key is remembered, as told to callers
 * @param skewMargin time beyond the expiry for which a key is still refused
 * @param maxHeadBytes size of a shard's head object from which settled entries are sealed
 * @param maxShardEntries entries of a shard from which new claims are refused
 * @param maxShardAnswerBytes size of a shard's kept answers from which the oldest are dropped
 * @param askTimeout time in which a claim is granted or refused
 * @param peerTimeout time to wait for another daemon before asking again
 * @param settleTimeout time for which an outcome is tried to be recorded
 * @param releaseTimeout time for which a release is tried to be recorded
 * @param maxRequestTime age of a claim from which its request counts as lost
 * @param cacheTrust age of the copy of a journal from which it is read again before a refusal
 */
public record ClaimSettings(
        int shards,
        Duration commitInterval,
        Duration settleLinger,
        Duration expiry,
        Duration skewMargin,
        int maxHeadBytes,
        int maxShardEntries,
        int maxShardAnswerBytes,
        Duration askTimeout,
        Duration peerTimeout,
        Duration settleTimeout,
        Duration releaseTimeout,
        Duration maxRequestTime,
        Duration cacheTrust) {

    /**
     * Returns the settings for 440 daemons and a store of several hundred writes a second.
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
