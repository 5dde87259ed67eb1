package org.amaranthpick.core.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes peer messages as MessagePack arrays of version, tag and fields. Messages with
 * an unknown tag are skipped, so that daemons of adjacent versions can exchange messages.
 * Thread-safe.
 */
public final class PeerCodec {
    /** Largest encoded message, in bytes. */
    public static final int MAX_MESSAGE_BYTES = 4_000_000;

    private static final int VERSION = 1;
    private static final int ENVELOPE_FIELDS = 3;

    private final Map<Integer, MessageCodec<?>> mCodecs = new HashMap<>();
    private final AtomicLong mSkipped = new AtomicLong();
    private final AtomicLong mMalformed = new AtomicLong();

    /**
     * Creates a codec.
     *
     * @param codecs one codec per message type
     * @throws IllegalArgumentException if two codecs share a tag
     */
    public PeerCodec(List<MessageCodec<?>> codecs) {
        for (MessageCodec<?> codec : codecs) {
            if (mCodecs.put(codec.tag(), codec) != null) {
                throw new IllegalArgumentException(
                        "two peer message codecs have tag "
                                + codec.tag()
                                + "; give one an unused tag");
            }
        }
    }

    /**
     * Encodes one message.
     *
     * @param message message of a registered type
     * @return encoded bytes
     * @throws IllegalArgumentException if the type is not registered or the message is too large
     */
    public byte[] encode(PeerMessage message) {
        MessageCodec<?> codec = mCodecs.get(message.tag());
        if (codec == null) {
            throw new IllegalArgumentException(
                    "peer message tag " + message.tag() + " has no registered codec");
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(ENVELOPE_FIELDS).packInt(VERSION).packInt(message.tag());
            packFields(codec, message, packer);
            return requireWithinLimit(packer.toByteArray(), message.tag());
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "peer message with tag " + message.tag() + " cannot be encoded", e);
        }
    }

    /**
     * Decodes one message.
     *
     * @param bytes received bytes, not trusted to be well-formed
     * @return the message, or why it was skipped or rejected
     */
    public DecodedMessage decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            return malformed(bytes.length + " bytes exceed the limit of " + MAX_MESSAGE_BYTES);
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return decodeEnvelope(unpacker);
        } catch (IOException | RuntimeException e) {
            return malformed(e.toString());
        }
    }

    /**
     * Returns the number of messages skipped because their version or tag is unknown.
     *
     * @return count since this codec was created
     */
    public long skipped() {
        return mSkipped.get();
    }

    /**
     * Returns the number of messages that were malformed.
     *
     * @return count since this codec was created
     */
    public long malformed() {
        return mMalformed.get();
    }

    private DecodedMessage decodeEnvelope(MessageUnpacker unpacker) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        if (fields < ENVELOPE_FIELDS) {
            return malformed("envelope has only " + fields + " fields");
        }
        int version = unpacker.unpackInt();
        int tag = unpacker.unpackInt();
        MessageCodec<?> codec = mCodecs.get(tag);
        if (version != VERSION || codec == null) {
            mSkipped.incrementAndGet();
            return new DecodedMessage.Skipped(version, tag);
        }
        return new DecodedMessage.Message(codec.unpack(unpacker));
    }

    private DecodedMessage malformed(String reason) {
        mMalformed.incrementAndGet();
        return new DecodedMessage.Malformed(reason);
    }

    /** The cast is safe: a codec is registered only under the tag of its own message type. */
    @SuppressWarnings("unchecked")
    private static <M extends PeerMessage> void packFields(
            MessageCodec<M> codec, PeerMessage message, MessageBufferPacker packer)
            throws IOException {
        codec.pack((M) message, packer);
    }

    private static byte[] requireWithinLimit(byte[] bytes, int tag) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    "peer message with tag " + tag + " has " + bytes.length + " bytes; split it");
        }
        return bytes;
    }
}
