package org.amaranthpick.server.peer;

import java.io.IOException;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.IllegalNameException;
import org.amaranthpick.core.name.ResourceKind;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * First frame of a connection.
 *
 * @param version highest protocol version that the sender speaks
 * @param from host of the sender
 * @param to host that it means to reach
 * @param nonce random bytes of the sender
 */
@SuppressWarnings("ArrayRecordComponent")
record Hello(int version, Identity from, Identity to, byte[] nonce) {
    /** Highest protocol version spoken here. */
    static final int VERSION = 1;

    /** Bytes of a nonce. */
    static final int NONCE_BYTES = 16;

    private static final String MAGIC = "AMPK";
    private static final int FIELDS = 7;

    byte[] pack() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS).packString(MAGIC).packInt(version);
            packHost(packer, from);
            packHost(packer, to);
            packer.packBinaryHeader(nonce.length).writePayload(nonce);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads a hello whose code was checked. Trailing fields of later versions are skipped.
     *
     * @throws IOException if it is malformed
     */
    static Hello unpack(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < FIELDS || !unpacker.unpackString().equals(MAGIC)) {
                throw new IOException("the first frame is no hello");
            }
            int version = unpacker.unpackInt();
            Identity from = unpackHost(unpacker);
            Identity to = unpackHost(unpacker);
            return new Hello(version, from, to, unpackNonce(unpacker));
        } catch (IllegalNameException | org.msgpack.core.MessagePackException e) {
            throw new IOException("malformed hello", e);
        }
    }

    static byte[] unpackNonce(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length != NONCE_BYTES) {
            throw new IOException("nonce of " + length + " bytes; want " + NONCE_BYTES);
        }
        return unpacker.readPayload(length);
    }

    private static void packHost(MessageBufferPacker packer, Identity host) throws IOException {
        packer.packString(host.fleet()).packString(host.name());
    }

    private static Identity unpackHost(MessageUnpacker unpacker) throws IOException {
        return new Identity(unpacker.unpackString(), ResourceKind.HOST, unpacker.unpackString());
    }
}
