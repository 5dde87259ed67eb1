package org.amaranthpick.core.claim;

import java.io.IOException;
import java.util.Optional;

/**
 * Reply of a shard to an operation.
 *
 * @param kind kind of the reply
 * @param answer kept answer, for KEPT only
 * @param text what was seen for UNAVAILABLE and NOT_STORED, host key of the holder for IN_PROGRESS,
 *     else empty
 * @param claimedAtMs wall-clock time of the claim in milliseconds for IN_PROGRESS, else 0
 */
record ShardReply(Kind kind, Optional<ClaimAnswer> answer, String text, long claimedAtMs) {
    /** Kinds of replies. */
    enum Kind {
        /** The claim is stored. */
        GRANTED(0),
        /** An earlier request ran; its answer is kept. */
        KEPT(1),
        /** An earlier request holds the claim. */
        IN_PROGRESS(2),
        /** An earlier request may have run. */
        OUTCOME_UNKNOWN(3),
        /** The key was used with another body. */
        REUSED(4),
        /** No answer; the operation may have been stored. */
        UNAVAILABLE(5),
        /** The operation was not stored and never will be. */
        NOT_STORED(6),
        /** The claim is settled. */
        SETTLED(7),
        /** The owner has the operation and will answer; sent between daemons only. */
        PENDING(8);

        private final int mCode;

        Kind(int code) {
            mCode = code;
        }

        /**
         * Returns the number that stands for the kind in messages.
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
            throw new IOException("claim reply " + code + " is not known; update this daemon");
        }
    }

    static ShardReply of(Kind kind) {
        return new ShardReply(kind, Optional.empty(), "", 0);
    }

    static ShardReply kept(ClaimAnswer answer) {
        return new ShardReply(Kind.KEPT, Optional.of(answer), "", 0);
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
     * Tells whether the operation may succeed when tried again.
     *
     * @return true if the store or the owner gave no answer
     */
    boolean isFailure() {
        return kind == Kind.UNAVAILABLE || kind == Kind.NOT_STORED;
    }
}
