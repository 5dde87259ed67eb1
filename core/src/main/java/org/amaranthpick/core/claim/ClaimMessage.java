package org.amaranthpick.core.claim;

import java.time.Duration;
import org.amaranthpick.core.peer.PeerMessage;

/** Messages that carry claim operations between daemons. */
public sealed interface ClaimMessage extends PeerMessage {
    /** Tag of {@link Call}. */
    int CALL_TAG = 80;

    /** Tag of {@link Reply}. */
    int REPLY_TAG = 81;

    /**
     * Request to the owner of a shard to perform an operation.
     *
     * @param callId number of the call, unique within the sender
     * @param operation operation to perform
     * @param validFor time for which the sender waits for the reply
     */
    record Call(long callId, ClaimOperation operation, Duration validFor) implements ClaimMessage {
        @Override
        public int tag() {
            return CALL_TAG;
        }
    }

    /**
     * Reply to a call.
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
