package org.amaranthpick.core.claim;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes journal entries and stored answers as MessagePack. */
final class ClaimEntryCodec {
    private static final int ENTRY_FIELDS = 8;
    private static final int ANSWER_FIELDS = 3;

    private ClaimEntryCodec() {}

    static void pack(ClaimEntry entry, MessagePacker packer) throws IOException {
        packer.packArrayHeader(ENTRY_FIELDS);
        packer.packLong(entry.key().high());
        packer.packLong(entry.key().low());
        packer.packInt(entry.state().code());
        packer.packLong(entry.requestHash());
        packer.packLong(entry.bodyHash());
        packer.packLong(entry.claimedAtMs());
        packer.packString(entry.holder());
        packAnswer(entry.answer(), packer);
    }

    static ClaimEntry unpack(MessageUnpacker unpacker) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        ClaimEntry entry =
                new ClaimEntry(
                        new KeyHash(unpacker.unpackLong(), unpacker.unpackLong()),
                        ClaimState.ofCode(unpacker.unpackInt()),
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        unpacker.unpackString(),
                        unpackAnswer(unpacker));
        unpacker.skipValue(fields - ENTRY_FIELDS);
        return entry;
    }

    static void packAnswer(Optional<ClaimAnswer> answer, MessagePacker packer) throws IOException {
        if (answer.isEmpty()) {
            packer.packNil();
            return;
        }
        packer.packArrayHeader(ANSWER_FIELDS);
        packer.packInt(answer.get().status());
        packer.packString(answer.get().contentType());
        packer.packString(answer.get().body());
    }

    static Optional<ClaimAnswer> unpackAnswer(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        int fields = unpacker.unpackArrayHeader();
        ClaimAnswer answer =
                new ClaimAnswer(
                        unpacker.unpackInt(), unpacker.unpackString(), unpacker.unpackString());
        unpacker.skipValue(fields - ANSWER_FIELDS);
        return Optional.of(answer);
    }
}
