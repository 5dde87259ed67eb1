package org.amaranthpick.core.claim;

import java.util.List;

/**
 * Operations written together.
 *
 * @param next journal after them
 * @param batch the operations
 * @param replies their replies, in the same order
 */
record ClaimBatch(ClaimJournal next, List<PendingOperation> batch, List<ShardReply> replies) {

    /** Gives the replies. */
    void reply() {
        for (int i = 0; i < batch.size(); i++) {
            batch.get(i).reply().complete(replies.get(i));
        }
    }
}
