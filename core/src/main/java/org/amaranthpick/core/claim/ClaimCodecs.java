package org.amaranthpick.core.claim;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the peer messages that carry claim operations. */
public final class ClaimCodecs {
    private ClaimCodecs() {}

    /**
     * Returns the codecs of all claim messages.
     *
     * @return one codec per message type
     */
    public static List<MessageCodec<?>> all() {
        return List.of(new CallCodec(), new ReplyCodec());
    }

    /** Codec of {@link ClaimMessage.Call}. */
    private static final class CallCodec implements MessageCodec<ClaimMessage.Call> {
        private static final int FIELDS = 9;

        /** Stands in the place of the state code when the operation acquires a claim. */
        private static final int ACQUIRE = -1;

        @Override
        public int tag() {
            return ClaimMessage.CALL_TAG;
        }

        @Override
        public void pack(ClaimMessage.Call message, MessagePacker packer) throws IOException {
            ClaimOperation operation = message.operation();
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.callId());
            packer.packLong(message.validFor().toMillis());
            packer.packLong(operation.key().high());
            packer.packLong(operation.key().low());
            packer.packLong(operation.requestHash());
            if (operation instanceof ClaimOperation.Acquire acquire) {
                packer.packInt(ACQUIRE);
                packer.packLong(acquire.bodyHash());
                packer.packString(acquire.holder());
                packer.packNil();
            } else if (operation instanceof ClaimOperation.Settle settle) {
                packer.packInt(settle.state().code());
                packer.packLong(0);
                packer.packString("");
                ClaimEntryCodec.packAnswer(settle.answer(), packer);
            }
        }

        @Override
        public ClaimMessage.Call unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            long callId = unpacker.unpackLong();
            Duration validFor = Duration.ofMillis(unpacker.unpackLong());
            KeyHash key = new KeyHash(unpacker.unpackLong(), unpacker.unpackLong());
            long requestHash = unpacker.unpackLong();
            int code = unpacker.unpackInt();
            long bodyHash = unpacker.unpackLong();
            String holder = unpacker.unpackString();
            Optional<ClaimAnswer> answer = ClaimEntryCodec.unpackAnswer(unpacker);
            unpacker.skipValue(fields - FIELDS);
            ClaimOperation operation =
                    code == ACQUIRE
                            ? new ClaimOperation.Acquire(key, requestHash, bodyHash, holder)
                            : new ClaimOperation.Settle(
                                    key, requestHash, ClaimState.ofCode(code), answer);
            return new ClaimMessage.Call(callId, operation, validFor);
        }
    }

    /** Codec of {@link ClaimMessage.Reply}. */
    private static final class ReplyCodec implements MessageCodec<ClaimMessage.Reply> {
        private static final int FIELDS = 5;

        @Override
        public int tag() {
            return ClaimMessage.REPLY_TAG;
        }

        @Override
        public void pack(ClaimMessage.Reply message, MessagePacker packer) throws IOException {
            ShardReply reply = message.reply();
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.callId());
            packer.packInt(reply.kind().code());
            packer.packString(reply.text());
            packer.packLong(reply.claimedAtMs());
            ClaimEntryCodec.packAnswer(reply.answer(), packer);
        }

        @Override
        public ClaimMessage.Reply unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            long callId = unpacker.unpackLong();
            ShardReply.Kind kind = ShardReply.Kind.ofCode(unpacker.unpackInt());
            String text = unpacker.unpackString();
            long claimedAtMs = unpacker.unpackLong();
            Optional<ClaimAnswer> answer = ClaimEntryCodec.unpackAnswer(unpacker);
            unpacker.skipValue(fields - FIELDS);
            return new ClaimMessage.Reply(callId, new ShardReply(kind, answer, text, claimedAtMs));
        }
    }
}
