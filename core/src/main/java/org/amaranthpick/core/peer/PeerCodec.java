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
 * Writes and reads peer messages: a MessagePack array of version, tag and fields. A reader skips
 * tags that it does not know, so that neighbouring versions understand each other. Thread-safe.
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
     * @param codecs codec of each message type
     * @throws IllegalArgumentException if two codecs share a tag
     */
    public PeerCodec(List<MessageCodec<?>> codecs) {
        for (MessageCodec<?> codec : codecs) {
            if (mCodecs.put(codec.tag(), codec) != null) {
                throw new IllegalArgumentException(
                        "two peer messages share tag " + codec.tag() + "; give one a free tag");
            }
        }
    }

    /**
     * Writes one message.
     *
     * @param message message of a registered type
     * @return encoded bytes
     * @throws IllegalArgumentException if the type is not registered or the message is too large
     */
    public byte[] encode(PeerMessage message) {
        MessageCodec<?> codec = mCodecs.get(message.tag());
        if (codec == null) {
            throw new IllegalArgumentException(
                    "peer message tag " + message.tag() + " has no codec; register it");
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(ENVELOPE_FIELDS).packInt(VERSION).packInt(message.tag());
            pack(codec, message, packer);
            return checkedSize(packer.toByteArray(), message.tag());
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "peer message tag " + message.tag() + " cannot be written", e);
        }
    }

    /**
     * Reads one message.
     *
     * @param bytes encoded bytes, from any sender
     * @return the message, or why there is none
     */
    public DecodedMessage decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            return malformed(bytes.length + " bytes are over the limit of " + MAX_MESSAGE_BYTES);
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return read(unpacker);
        } catch (IOException | RuntimeException e) {
            return malformed(e.toString());
        }
    }

    /**
     * Counts the messages skipped because their version or tag is unknown.
     *
     * @return count since the start
     */
    public long skipped() {
        return mSkipped.get();
    }

    /**
     * Counts the messages that could not be read.
     *
     * @return count since the start
     */
    public long malformed() {
        return mMalformed.get();
    }

    private DecodedMessage read(MessageUnpacker unpacker) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        if (fields < ENVELOPE_FIELDS) {
            return malformed("envelope of " + fields + " fields");
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

    /** A codec is registered under the tag of its own message type only. */
    @SuppressWarnings("unchecked")
    private static <M extends PeerMessage> void pack(
            MessageCodec<M> codec, PeerMessage message, MessageBufferPacker packer)
            throws IOException {
        codec.pack((M) message, packer);
    }

    private static byte[] checkedSize(byte[] bytes, int tag) {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    "peer message tag " + tag + " has " + bytes.length + " bytes; split it");
        }
        return bytes;
    }
}
