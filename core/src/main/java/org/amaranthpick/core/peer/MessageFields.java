package org.amaranthpick.core.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes fields of peer messages. Counts and lengths received are checked before memory
 * is allocated for them.
 */
public final class MessageFields {
    /** The index of a kind is its number on the wire; new kinds are appended. */
    private static final List<ResourceKind> KINDS =
            List.of(
                    ResourceKind.DOMAIN,
                    ResourceKind.HOST,
                    ResourceKind.UPSTREAM,
                    ResourceKind.MODEL_VERSION,
                    ResourceKind.ADAPTER,
                    ResourceKind.PIPELINE,
                    ResourceKind.WORKSPACE,
                    ResourceKind.SERVICE);

    private MessageFields() {}

    /**
     * Reads one element of a list.
     *
     * @param <T> element type
     */
    @FunctionalInterface
    public interface Reader<T> {
        /**
         * Reads one element.
         *
         * @param unpacker source
         * @return element
         * @throws IOException if the bytes are malformed
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }

    /**
     * Writes one element of a list.
     *
     * @param <T> element type
     */
    @FunctionalInterface
    public interface Writer<T> {
        /**
         * Writes one element.
         *
         * @param element element
         * @param packer target
         * @throws IOException if the target fails
         */
        void write(T element, MessagePacker packer) throws IOException;
    }

    /**
     * Reads the header of a field array and checks that no known field is missing.
     *
     * @param unpacker source
     * @param fields number of known fields
     * @return number of fields after the known ones, to be passed to {@link #skipExtra}
     * @throws IOException if fields are missing
     */
    public static int unpackHeader(MessageUnpacker unpacker, int fields) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count < fields) {
            throw new MessagePackException(count + " fields, expected at least " + fields);
        }
        return count - fields;
    }

    /**
     * Skips the fields after the known ones.
     *
     * @param unpacker source
     * @param extra result of {@link #unpackHeader}
     * @throws IOException if the bytes are malformed
     */
    public static void skipExtra(MessageUnpacker unpacker, int extra) throws IOException {
        unpacker.skipValue(extra);
    }

    /**
     * Writes an identity.
     *
     * @param id identity
     * @param packer target
     * @throws IOException if the target fails
     */
    public static void packIdentity(Identity id, MessagePacker packer) throws IOException {
        packer.packArrayHeader(3)
                .packString(id.fleet())
                .packInt(KINDS.indexOf(id.kind()))
                .packString(id.name());
    }

    /**
     * Reads an identity.
     *
     * @param unpacker source
     * @return identity
     * @throws IOException if the bytes are malformed
     */
    public static Identity unpackIdentity(MessageUnpacker unpacker) throws IOException {
        int extra = unpackHeader(unpacker, 3);
        String fleet = unpackText(unpacker, Identity.MAX_NAME_LENGTH * 4);
        int kind = unpacker.unpackInt();
        String name = unpackText(unpacker, Identity.MAX_NAME_LENGTH * 4);
        skipExtra(unpacker, extra);
        if (kind < 0 || kind >= KINDS.size()) {
            throw new MessagePackException("unknown resource kind " + kind);
        }
        return new Identity(fleet, KINDS.get(kind), name);
    }

    /**
     * Writes a list.
     *
     * @param list elements
     * @param packer target
     * @param writer writer of one element
     * @param <T> element type
     * @throws IOException if the target fails
     */
    public static <T> void packList(Collection<T> list, MessagePacker packer, Writer<T> writer)
            throws IOException {
        packer.packArrayHeader(list.size());
        for (T element : list) {
            writer.write(element, packer);
        }
    }

    /**
     * Reads a list.
     *
     * @param unpacker source
     * @param maxCount maximum number of elements
     * @param reader reader of one element
     * @param <T> element type
     * @return elements
     * @throws IOException if the bytes are malformed or there are too many elements
     */
    public static <T> List<T> unpackList(MessageUnpacker unpacker, int maxCount, Reader<T> reader)
            throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > maxCount) {
            throw new MessagePackException(count + " elements exceed the limit of " + maxCount);
        }
        List<T> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(reader.read(unpacker));
        }
        return list;
    }

    /**
     * Reads a string.
     *
     * @param unpacker source
     * @param maxBytes maximum length in bytes
     * @return string
     * @throws IOException if the bytes are malformed or longer than allowed
     */
    public static String unpackText(MessageUnpacker unpacker, int maxBytes) throws IOException {
        byte[] bytes = new byte[requireLength(unpacker.unpackRawStringHeader(), maxBytes)];
        unpacker.readPayload(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /**
     * Reads a byte string.
     *
     * @param unpacker source
     * @param maxBytes maximum length in bytes
     * @return bytes
     * @throws IOException if the bytes are malformed or longer than allowed
     */
    public static byte[] unpackBytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
        byte[] bytes = new byte[requireLength(unpacker.unpackBinaryHeader(), maxBytes)];
        unpacker.readPayload(bytes);
        return bytes;
    }

    private static int requireLength(int length, int maxBytes) {
        if (length < 0 || length > maxBytes) {
            throw new MessagePackException(length + " bytes exceed the limit of " + maxBytes);
        }
        return length;
    }
}
