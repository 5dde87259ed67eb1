package org.amaranthpick.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Move of entries into a new segment: settled ones out of a head that has grown large, or those of
 * the oldest segment with answers, without them, where kept answers take too much room.
 *
 * @param bytes value of the new segment
 * @param sealed keys that leave the head
 * @param replaced segment that the new one replaces
 */
@SuppressWarnings("ArrayRecordComponent")
record Compaction(byte[] bytes, Set<KeyHash> sealed, Optional<String> replaced) {
    /**
     * Plans the next move.
     *
     * @param journal journal to be stored
     * @param settings settings
     * @param nowMs wall-clock time, milliseconds
     * @return move, empty if none is due
     */
    static Optional<Compaction> plan(ClaimJournal journal, ClaimSettings settings, long nowMs) {
        int headBytes = journal.encodeHead().length;
        if (headBytes > settings.maxHeadBytes()) {
            Map<KeyHash, ClaimEntry> sealable = journal.sealable(nowMs);
            byte[] bytes = SealedSegment.encode(sealable.values());
            if (bytes.length >= headBytes / 2) {
                return Optional.of(new Compaction(bytes, sealable.keySet(), Optional.empty()));
            }
        }
        if (journal.answerBytes() <= settings.maxShardAnswerBytes()) {
            return Optional.empty();
        }
        return journal.oldestSegmentWithAnswers().map(name -> withoutAnswers(journal, name));
    }

    private static Compaction withoutAnswers(ClaimJournal journal, String name) {
        List<ClaimEntry> entries =
                journal.segments().get(name).entries().stream()
                        .map(ClaimEntry::withoutAnswer)
                        .toList();
        return new Compaction(SealedSegment.encode(entries), Set.of(), Optional.of(name));
    }

    /**
     * Carries the move out once the segment is stored.
     *
     * @param journal journal to be stored
     * @param name name of the new segment
     */
    void apply(ClaimJournal journal, String name) {
        journal.seal(name, new SealedSegment(bytes), sealed, replaced);
    }
}
