package org.amaranthpick.core.claim;

import java.util.List;

/**
 * Operations written together.
 *
 * @param next journal after them
 * @param batch the operations
 * @param replies their replies, in the same order
 * @param dropped segments that the head no longer names
 */
record ClaimBatch(
        ClaimJournal next,
        List<PendingOperation> batch,
        List<ShardReply> replies,
        List<String> dropped) {

    /** Gives the replies. */
    void reply() {
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).reply().complete(replies.get(i));
        }
    }
}
