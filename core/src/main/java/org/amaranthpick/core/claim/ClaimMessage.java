package org.amaranthpick.core.claim;

import java.time.Duration;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages between daemons about claims. */
public sealed interface ClaimMessage extends PeerMessage {
    /** Tag of {@link Call}. */
    int CALL_TAG = 80;

    /** Tag of {@link Reply}. */
    int REPLY_TAG = 81;

    /**
     * Asks a shard's owner for an operation.
     *
     * @param callId number of the call within the sender
     * @param operation operation
     * @param validFor time after which the sender no longer waits
     */
    record Call(long callId, ClaimOperation operation, Duration validFor) implements ClaimMessage {
        @Override
        public int tag() {
            return CALL_TAG;
        }
    }

    /**
     * Answers a call.
     *
     * @param callId number of the call
     * @param reply reply of the shard
     */
    record Reply(long callId, ShardReply reply) implements ClaimMessage {
        @Override
        public int tag() {
            return REPLY_TAG;
        }
    }
}
