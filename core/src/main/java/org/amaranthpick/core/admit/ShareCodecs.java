package org.amaranthpick.core.admit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.RecordCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the messages of shared limits. Entries are flat: one array of numbers for all. */
public final class ShareCodecs {
    private static final int ASK_ENTRY_FIELDS = 6;
    private static final int GRANT_ENTRY_FIELDS = 4;

    private ShareCodecs() {}

    /**
     * Returns all codecs.
     *
     * @return codecs, one per tag
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new RecordCodec<ShareMessage.Candidacy>(
                        ShareMessage.CANDIDACY_TAG,
                        3,
                        (m, p) ->
                                p.packLong(m.sequence())
                                        .packLong(m.shards())
                                        .packLong(m.released()),
                        u ->
                                new ShareMessage.Candidacy(
                                        u.unpackLong(), u.unpackLong(), u.unpackLong())),
                new RecordCodec<ShareMessage.Consent>(
                        ShareMessage.CONSENT_TAG,
                        3,
                        (m, p) -> p.packLong(m.sequence()).packLong(m.shards()).packLong(m.idle()),
                        u ->
                                new ShareMessage.Consent(
                                        u.unpackLong(), u.unpackLong(), u.unpackLong())),
                new RecordCodec<ShareMessage.Ask>(
                        ShareMessage.ASK_TAG, 2, ShareCodecs::packAsk, ShareCodecs::ask),
                new RecordCodec<ShareMessage.Grant>(
                        ShareMessage.GRANT_TAG, 2, ShareCodecs::packGrant, ShareCodecs::grant));
    }

    private static void packAsk(ShareMessage.Ask message, MessagePacker packer) throws IOException {
        packer.packLong(message.sequence());
        packer.packArrayHeader(message.entries().size() * ASK_ENTRY_FIELDS);
        for (ShareMessage.AskEntry entry : message.entries()) {
            packer.packLong(entry.workspace());
            packer.packInt(entry.held());
            packer.packInt(entry.used());
            packer.packInt(entry.places());
            packer.packInt(entry.requests());
            packer.packInt(entry.tokens());
        }
    }

    private static ShareMessage.Ask ask(MessageUnpacker unpacker) throws IOException {
        long sequence = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader() / ASK_ENTRY_FIELDS;
        List<ShareMessage.AskEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new ShareMessage.AskEntry(
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return new ShareMessage.Ask(sequence, entries);
    }

    private static void packGrant(ShareMessage.Grant message, MessagePacker packer)
            throws IOException {
        packer.packLong(message.sequence());
        packer.packArrayHeader(message.entries().size() * GRANT_ENTRY_FIELDS);
        for (ShareMessage.GrantEntry entry : message.entries()) {
            packer.packLong(entry.workspace());
            packer.packInt(entry.places());
            packer.packInt(entry.requests());
            packer.packInt(entry.tokens());
        }
    }

    private static ShareMessage.Grant grant(MessageUnpacker unpacker) throws IOException {
        long sequence = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader() / GRANT_ENTRY_FIELDS;
        List<ShareMessage.GrantEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new ShareMessage.GrantEntry(
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return new ShareMessage.Grant(sequence, entries);
    }
}
