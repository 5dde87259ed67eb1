package org.amaranthpick.core.claim;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Hash of an idempotency key, computed over the key of the workspace's identity and the caller's
 * key.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
record KeyHash(long high, long low) {
    static KeyHash of(ClaimKey key) {
        HashValue128 hash =
                Hashing.murmur3_128()
                        .hashStream()
                        .putString(key.workspace().key())
                        .putString(key.key())
                        .get();
        return new KeyHash(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /**
     * Returns the number of the shard that holds the key.
     *
     * @param shards number of shards
     * @return 0 to {@code shards} - 1
     */
    int shard(int shards) {
        return (int) Long.remainderUnsigned(high, shards);
    }
}
