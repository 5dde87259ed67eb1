package org.amaranthpick.core.admit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the messages that share limits. */
public final class ShareCodecs {
    private ShareCodecs() {}

    /**
     * Returns all codecs.
     *
     * @return codecs, one per tag
     */
    public static List<MessageCodec<?>> all() {
        return List.of(new CandidacyCodec(), new ConsentCodec(), new AskCodec(), new GrantCodec());
    }

    private static void skip(MessageUnpacker unpacker, int fields) throws IOException {
        for (int i = 0; i < fields; i++) {
            unpacker.skipValue();
        }
    }

    private static final class CandidacyCodec implements MessageCodec<ShareMessage.Candidacy> {
        private static final int FIELDS = 3;

        @Override
        public int tag() {
            return ShareMessage.CANDIDACY_TAG;
        }

        @Override
        public void pack(ShareMessage.Candidacy message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.sequence());
            packer.packLong(message.shards());
            packer.packLong(message.released());
        }

        @Override
        public ShareMessage.Candidacy unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            ShareMessage.Candidacy message =
                    new ShareMessage.Candidacy(
                            unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            skip(unpacker, fields - FIELDS);
            return message;
        }
    }

    private static final class ConsentCodec implements MessageCodec<ShareMessage.Consent> {
        private static final int FIELDS = 3;

        @Override
        public int tag() {
            return ShareMessage.CONSENT_TAG;
        }

        @Override
        public void pack(ShareMessage.Consent message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.sequence());
            packer.packLong(message.shards());
            packer.packLong(message.idle());
        }

        @Override
        public ShareMessage.Consent unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            ShareMessage.Consent message =
                    new ShareMessage.Consent(
                            unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            skip(unpacker, fields - FIELDS);
            return message;
        }
    }

    private static final class AskCodec implements MessageCodec<ShareMessage.Ask> {
        private static final int FIELDS = 2;
        private static final int ENTRY_FIELDS = 6;

        @Override
        public int tag() {
            return ShareMessage.ASK_TAG;
        }

        @Override
        public void pack(ShareMessage.Ask message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.sequence());
            packer.packArrayHeader(message.entries().size() * ENTRY_FIELDS);
            for (ShareMessage.AskEntry entry : message.entries()) {
                packer.packLong(entry.workspace());
                packer.packInt(entry.held());
                packer.packInt(entry.used());
                packer.packInt(entry.places());
                packer.packInt(entry.requests());
                packer.packInt(entry.tokens());
            }
        }

        @Override
        public ShareMessage.Ask unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            long sequence = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader() / ENTRY_FIELDS;
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
            skip(unpacker, fields - FIELDS);
            return new ShareMessage.Ask(sequence, entries);
        }
    }

    private static final class GrantCodec implements MessageCodec<ShareMessage.Grant> {
        private static final int FIELDS = 2;
        private static final int ENTRY_FIELDS = 4;

        @Override
        public int tag() {
            return ShareMessage.GRANT_TAG;
        }

        @Override
        public void pack(ShareMessage.Grant message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packLong(message.sequence());
            packer.packArrayHeader(message.entries().size() * ENTRY_FIELDS);
            for (ShareMessage.GrantEntry entry : message.entries()) {
                packer.packLong(entry.workspace());
                packer.packInt(entry.places());
                packer.packInt(entry.requests());
                packer.packInt(entry.tokens());
            }
        }

        @Override
        public ShareMessage.Grant unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            long sequence = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader() / ENTRY_FIELDS;
            List<ShareMessage.GrantEntry> entries = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                entries.add(
                        new ShareMessage.GrantEntry(
                                unpacker.unpackLong(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt()));
            }
            skip(unpacker, fields - FIELDS);
            return new ShareMessage.Grant(sequence, entries);
        }
    }
}
