package org.amaranthpick.core.claim;

import java.util.concurrent.CompletableFuture;

/** Operation that waits for its shard. Confined to the shard's event queue. */
final class PendingOperation {
    private final ClaimOperation mOperation;
    private final long mSubmittedNs;
    private final long mExpiresNs;
    private final long mCommitByNs;
    private final CompletableFuture<ShardReply> mReply = new CompletableFuture<>();
    private boolean mMayBeStored;
    private long mJudgedEpoch = -1;

    /**
     * Creates a waiting operation.
     *
     * @param operation operation
     * @param submittedNs monotonic time at which it came
     * @param expiresNs monotonic time at which it is given up
     * @param commitByNs monotonic time by which it is to be written, so that others may share the
     *     write
     */
    PendingOperation(ClaimOperation operation, long submittedNs, long expiresNs, long commitByNs) {
        mOperation = operation;
        mSubmittedNs = submittedNs;
        mExpiresNs = expiresNs;
        mCommitByNs = commitByNs;
    }

    ClaimOperation operation() {
        return mOperation;
    }

    long submittedNs() {
        return mSubmittedNs;
    }

    long expiresNs() {
        return mExpiresNs;
    }

    long commitByNs() {
        return mCommitByNs;
    }

    CompletableFuture<ShardReply> reply() {
        return mReply;
    }

    /**
     * Tells whether this operation was found to change a copy of the journal.
     *
     * @param epoch number of the copy
     * @return true if it was judged against that copy
     */
    boolean isJudged(long epoch) {
        return mJudgedEpoch == epoch;
    }

    /**
     * Notes that this operation changes a copy of the journal.
     *
     * @param epoch number of the copy
     */
    void onJudged(long epoch) {
        mJudgedEpoch = epoch;
    }

    /** Notes that a write with this operation has an unknown end. */
    void onUnknownWrite() {
        mMayBeStored = true;
    }

    /**
     * Gives the operation up.
     *
     * @param reason what was seen
     */
    void giveUp(String reason) {
        mReply.complete(
                mMayBeStored ? ShardReply.unavailable(reason) : ShardReply.notStored(reason));
    }
}
