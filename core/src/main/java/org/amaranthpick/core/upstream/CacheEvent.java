package org.amaranthpick.core.upstream;

import java.util.List;

/**
 * Change in the prefix cache of an engine.
 *
 * @param bootId id of the engine's process start that sent the event
 * @param sequence sequence number of the event; a gap means that events were lost
 * @param stored true if the blocks were stored, false if they were evicted
 * @param blockHashes chained prefix hashes of the blocks
 */
public record CacheEvent(String bootId, long sequence, boolean stored, List<Long> blockHashes) {
    /** Creates the event with a copy of the list. */
    public CacheEvent {
        blockHashes = List.copyOf(blockHashes);
    }
}
