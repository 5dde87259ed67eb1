package org.amaranthpick.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Write of a new segment that makes a journal smaller. Either it moves the settled entries out of a
 * large head, or it replaces the segment with the oldest answers by a copy without answers when the
 * stored answers exceed their limit.
 *
 * @param bytes value of the new segment's object
 * @param movedKeys keys whose entries are removed from the head
 * @param replaced segment that the new one replaces, if any
 */
@SuppressWarnings("ArrayRecordComponent")
record Compaction(byte[] bytes, Set<KeyHash> movedKeys, Optional<String> replaced) {
    /**
     * Plans the next compaction.
     *
     * @param journal journal to be stored
     * @param settings limits of head and answers
     * @param nowMs wall-clock time in milliseconds
     * @return compaction, empty if none is due
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
        if (journal.answerChars() <= settings.maxShardAnswerChars()) {
            return Optional.empty();
        }
        return journal.oldestSegmentWithAnswers().map(name -> dropAnswers(journal, name));
    }

    private static Compaction dropAnswers(ClaimJournal journal, String name) {
        List<ClaimEntry> entries =
                journal.segments().get(name).entries().stream()
                        .map(ClaimEntry::withoutAnswer)
                        .toList();
        return new Compaction(SealedSegment.encode(entries), Set.of(), Optional.of(name));
    }

    /**
     * Applies the compaction to a journal once the segment is stored.
     *
     * @param journal journal to be stored
     * @param name name of the new segment
     */
    void apply(ClaimJournal journal, String name) {
        journal.addSegment(name, new SealedSegment(bytes), movedKeys, replaced);
    }
}
