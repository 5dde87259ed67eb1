package org.amaranthpick.core.claim;

import java.io.IOException;
import java.util.Optional;

/**
 * Reply of a shard to an operation.
 *
 * @param kind kind of the reply
 * @param answer stored answer, for COMPLETED only
 * @param text reason for UNAVAILABLE and NOT_STORED, host key of the holder for IN_PROGRESS, else
 *     empty
 * @param claimedAtMs wall-clock time of the claim in milliseconds for IN_PROGRESS, else 0
 */
record ShardReply(Kind kind, Optional<ClaimAnswer> answer, String text, long claimedAtMs) {
    /** Kinds of replies. */
    enum Kind {
        /** The claim is stored. */
        GRANTED(0),
        /** An earlier request completed; its answer is stored. */
        COMPLETED(1),
        /** An earlier request holds the claim. */
        IN_PROGRESS(2),
        /** An earlier request may have run; its answer is not stored. */
        OUTCOME_UNKNOWN(3),
        /** An earlier request used the key with a different body. */
        REUSED(4),
        /** No result arrived in time; the operation may have been stored. */
        UNAVAILABLE(5),
        /** The operation was not stored and will not be. */
        NOT_STORED(6),
        /** The settlement is stored, or the request does not hold the claim. */
        SETTLED(7),
        /** The owner has received the operation and will reply; sent between daemons only. */
        PENDING(8);

        private final int mCode;

        Kind(int code) {
            mCode = code;
        }

        /**
         * Returns the code of the kind in messages.
         *
         * @return 0 or more
         */
        int code() {
            return mCode;
        }

        static Kind ofCode(int code) throws IOException {
            for (Kind kind : values()) {
                if (kind.mCode == code) {
                    return kind;
                }
            }
            throw new IOException("claim reply " + code + " is not supported; update this daemon");
        }
    }

    static ShardReply of(Kind kind) {
        return new ShardReply(kind, Optional.empty(), "", 0);
    }

    static ShardReply completed(ClaimAnswer answer) {
        return new ShardReply(Kind.COMPLETED, Optional.of(answer), "", 0);
    }

    static ShardReply inProgress(String holder, long claimedAtMs) {
        return new ShardReply(Kind.IN_PROGRESS, Optional.empty(), holder, claimedAtMs);
    }

    static ShardReply unavailable(String reason) {
        return new ShardReply(Kind.UNAVAILABLE, Optional.empty(), reason, 0);
    }

    static ShardReply notStored(String reason) {
        return new ShardReply(Kind.NOT_STORED, Optional.empty(), reason, 0);
    }

    /**
     * Returns whether the operation failed and may succeed when retried.
     *
     * @return true if the operation has no result or was not stored
     */
    boolean isFailure() {
        return kind == Kind.UNAVAILABLE || kind == Kind.NOT_STORED;
    }
}
