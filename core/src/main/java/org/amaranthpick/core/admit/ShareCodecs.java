package org.amaranthpick.core.admit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.RecordCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Codecs of the messages of shared limits. The entries of a message are written as one flat array
 * of numbers.
 */
public final class ShareCodecs {
    private static final int REQUEST_ENTRY_FIELDS = 6;
    private static final int GRANT_ENTRY_FIELDS = 4;

    private ShareCodecs() {}

    /**
     * Returns the codecs of all share messages.
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
                new RecordCodec<ShareMessage.Vote>(
                        ShareMessage.VOTE_TAG,
                        3,
                        (m, p) -> p.packLong(m.sequence()).packLong(m.shards()).packLong(m.idle()),
                        u -> new ShareMessage.Vote(u.unpackLong(), u.unpackLong(), u.unpackLong())),
                new RecordCodec<ShareMessage.ShareRequest>(
                        ShareMessage.REQUEST_TAG,
                        2,
                        ShareCodecs::packRequest,
                        ShareCodecs::unpackRequest),
                new RecordCodec<ShareMessage.Grant>(
                        ShareMessage.GRANT_TAG,
                        2,
                        ShareCodecs::packGrant,
                        ShareCodecs::unpackGrant));
    }

    private static void packRequest(ShareMessage.ShareRequest message, MessagePacker packer)
            throws IOException {
        packer.packLong(message.sequence());
        packer.packArrayHeader(message.entries().size() * REQUEST_ENTRY_FIELDS);
        for (ShareMessage.RequestEntry entry : message.entries()) {
            packer.packLong(entry.workspace());
            packer.packInt(entry.heldSlots());
            packer.packInt(entry.usedSlots());
            packer.packInt(entry.wantedSlots());
            packer.packInt(entry.requests());
            packer.packInt(entry.tokens());
        }
    }

    private static ShareMessage.ShareRequest unpackRequest(MessageUnpacker unpacker)
            throws IOException {
        long sequence = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader() / REQUEST_ENTRY_FIELDS;
        List<ShareMessage.RequestEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new ShareMessage.RequestEntry(
                            unpacker.unpackLong(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return new ShareMessage.ShareRequest(sequence, entries);
    }

    private static void packGrant(ShareMessage.Grant message, MessagePacker packer)
            throws IOException {
        packer.packLong(message.sequence());
        packer.packArrayHeader(message.entries().size() * GRANT_ENTRY_FIELDS);
        for (ShareMessage.GrantEntry entry : message.entries()) {
            packer.packLong(entry.workspace());
            packer.packInt(entry.slots());
            packer.packInt(entry.requests());
            packer.packInt(entry.tokens());
        }
    }

    private static ShareMessage.Grant unpackGrant(MessageUnpacker unpacker) throws IOException {
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
