package org.amaranthpick.core.claim;

import java.util.concurrent.CompletableFuture;

/** Operation that waits for its reply from a shard. Confined to the event queue of the shard. */
final class PendingOperation {
    private final ClaimOperation mOperation;
    private final long mSubmittedNs;
    private final long mExpiresNs;
    private final long mCommitByNs;
    private final CompletableFuture<ShardReply> mReply = new CompletableFuture<>();
    private boolean mMayBeStored;
    private long mChangedCopy = -1;

    /**
     * Creates a pending operation.
     *
     * @param operation operation
     * @param submittedNs monotonic time of the submission
     * @param expiresNs monotonic time at which it fails if it has no reply
     * @param commitByNs monotonic time at which it is written at the latest; until then it waits
     *     for others that share the write
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
     * Returns whether this operation was found to change a copy of the journal.
     *
     * @param copyNumber number of the copy
     * @return true if it was marked as changing that copy
     */
    boolean isKnownToChange(long copyNumber) {
        return mChangedCopy == copyNumber;
    }

    /**
     * Records that this operation changes a copy of the journal.
     *
     * @param copyNumber number of the copy
     */
    void markAsChanging(long copyNumber) {
        mChangedCopy = copyNumber;
    }

    /** Records that a write with this operation has an unknown result. */
    void onUnknownWrite() {
        mMayBeStored = true;
    }

    /**
     * Completes the operation with a failure.
     *
     * @param reason reason of the failure
     */
    void fail(String reason) {
        mReply.complete(
                mMayBeStored ? ShardReply.unavailable(reason) : ShardReply.notStored(reason));
    }
}
