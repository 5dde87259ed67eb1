package org.amaranthpick.core.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads the messages of one tag. Readers skip trailing fields that they do not know, so
 * that daemons of adjacent versions can exchange messages.
 *
 * @param <M> message type
 */
public interface MessageCodec<M extends PeerMessage> {
    /**
     * Returns the tag of the message type.
     *
     * @return tag, 1 or more
     */
    int tag();

    /**
     * Writes the fields as one MessagePack array.
     *
     * @param message message to write
     * @param packer target
     * @throws IOException if the target fails
     */
    void pack(M message, MessagePacker packer) throws IOException;

    /**
     * Reads the fields.
     *
     * @param unpacker source, at the start of the array
     * @return message
     * @throws IOException if the bytes are malformed
     */
    M unpack(MessageUnpacker unpacker) throws IOException;
}
