package org.amaranthpick.core.upstream;

import java.util.List;

/**
 * Change of the prefix cache of an engine.
 *
 * @param bootId boot of the engine that it belongs to
 * @param sequence number of the event; a gap means that events were lost
 * @param stored true if the blocks were stored, false if evicted
 * @param blockHashes chained prefix hashes of the blocks
 */
public record CacheEvent(String bootId, long sequence, boolean stored, List<Long> blockHashes) {
    /** Copies the list. */
    public CacheEvent {
        blockHashes = List.copyOf(blockHashes);
    }
}
