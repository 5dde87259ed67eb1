package org.amaranthpick.core.claim;

import java.util.List;

/**
 * Operations that one write of the journal stores together.
 *
 * @param journal journal with the operations applied
 * @param operations operations of the write
 * @param replies replies to the operations, in the same order
 */
record ClaimBatch(
        ClaimJournal journal, List<PendingOperation> operations, List<ShardReply> replies) {

    /** Completes every operation with its reply. */
    void completeReplies() {
        for (int i = 0; i < operations.size(); i++) {
            operations.get(i).reply().complete(replies.get(i));
        }
    }
}
