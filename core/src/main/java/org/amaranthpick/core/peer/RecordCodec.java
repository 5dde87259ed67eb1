package org.amaranthpick.core.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec of a message with a fixed number of fields, composed of a writing and a reading function.
 *
 * @param tag tag of the message type
 * @param fields number of fields written
 * @param writer writes the fields, without the array header
 * @param reader reads the fields, without the array header
 * @param <M> message type
 */
public record RecordCodec<M extends PeerMessage>(
        int tag, int fields, MessageFields.Writer<M> writer, MessageFields.Reader<M> reader)
        implements MessageCodec<M> {
    @Override
    public void pack(M message, MessagePacker packer) throws IOException {
        packer.packArrayHeader(fields);
        writer.write(message, packer);
    }

    @Override
    public M unpack(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, fields);
        M message = reader.read(unpacker);
        MessageFields.skipExtra(unpacker, extra);
        return message;
    }
}
