package org.amaranthpick.core.config;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkReply;
import org.amaranthpick.core.config.ConfigurationMessage.ChunkRequest;
import org.amaranthpick.core.config.ConfigurationMessage.GenerationNotice;
import org.amaranthpick.core.config.ConfigurationMessage.InForceQuery;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReply;
import org.amaranthpick.core.config.ConfigurationMessage.InForceReport;
import org.amaranthpick.core.config.ConfigurationMessage.RootReply;
import org.amaranthpick.core.config.ConfigurationMessage.RootRequest;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.MessageFields;
import org.amaranthpick.core.peer.RecordCodec;
import org.amaranthpick.core.store.ObjectStore;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codecs of {@link ConfigurationMessage}. */
public final class ConfigurationCodecs {
    private static final int MAX_CHUNKS = 10_000;
    private static final int MAX_DIGEST_BYTES = 64;

    private ConfigurationCodecs() {}

    /**
     * Returns the codecs.
     *
     * @return one codec per message type
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new RecordCodec<GenerationNotice>(
                        ConfigurationMessage.TAG_GENERATION_NOTICE,
                        2,
                        (m, p) ->
                                MessageFields.packIdentity(m.origin(), p.packLong(m.generation())),
                        u -> new GenerationNotice(u.unpackLong(), MessageFields.unpackIdentity(u))),
                new RecordCodec<RootRequest>(
                        ConfigurationMessage.TAG_ROOT_REQUEST,
                        0,
                        (m, p) -> p.flush(),
                        u -> new RootRequest()),
                new RecordCodec<RootReply>(
                        ConfigurationMessage.TAG_ROOT_REPLY,
                        1,
                        (m, p) -> packBytes(encodeRoot(m), p),
                        u -> new RootReply(decodeRoot(unpackBytes(u)))),
                new RecordCodec<ChunkRequest>(
                        ConfigurationMessage.TAG_CHUNK_REQUEST,
                        1,
                        (m, p) -> MessageFields.packList(m.digests(), p, (d, q) -> q.packString(d)),
                        u ->
                                new ChunkRequest(
                                        MessageFields.unpackList(
                                                u, MAX_CHUNKS, ConfigurationCodecs::unpackDigest))),
                new RecordCodec<ChunkReply>(
                        ConfigurationMessage.TAG_CHUNK_REPLY,
                        2,
                        (m, p) -> packBytes(m.bytes(), p.packString(m.digest())),
                        u -> new ChunkReply(unpackDigest(u), unpackBytes(u))),
                new RecordCodec<InForceReport>(
                        ConfigurationMessage.TAG_IN_FORCE_REPORT,
                        1,
                        (m, p) -> p.packLong(m.generation()),
                        u -> new InForceReport(u.unpackLong())),
                new RecordCodec<InForceQuery>(
                        ConfigurationMessage.TAG_IN_FORCE_QUERY,
                        2,
                        (m, p) -> p.packLong(m.query()).packLong(m.generation()),
                        u -> new InForceQuery(u.unpackLong(), u.unpackLong())),
                new RecordCodec<InForceReply>(
                        ConfigurationMessage.TAG_IN_FORCE_REPLY,
                        4,
                        ConfigurationCodecs::packInForceReply,
                        ConfigurationCodecs::unpackInForceReply));
    }

    private static void packInForceReply(InForceReply reply, MessagePacker packer)
            throws IOException {
        packer.packLong(reply.query());
        MessageFields.packIdentity(reply.domain(), packer);
        packer.packInt(reply.live());
        MessageFields.packList(reply.laggards(), packer, MessageFields::packIdentity);
    }

    private static InForceReply unpackInForceReply(MessageUnpacker unpacker) throws IOException {
        return new InForceReply(
                unpacker.unpackLong(),
                MessageFields.unpackIdentity(unpacker),
                unpacker.unpackInt(),
                MessageFields.unpackList(
                        unpacker, InForceReply.MAX_LAGGARDS, MessageFields::unpackIdentity));
    }

    private static byte[] encodeRoot(RootReply reply) {
        return reply.root().map(ConfigurationRoot::toBytes).orElse(new byte[0]);
    }

    private static Optional<ConfigurationRoot> decodeRoot(byte[] bytes) {
        return bytes.length == 0
                ? Optional.empty()
                : Optional.of(ConfigurationRoot.fromBytes(bytes));
    }

    private static void packBytes(byte[] bytes, MessagePacker packer) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        return MessageFields.unpackBytes(unpacker, ObjectStore.MAX_VALUE_BYTES);
    }

    private static String unpackDigest(MessageUnpacker unpacker) throws IOException {
        return MessageFields.unpackText(unpacker, MAX_DIGEST_BYTES);
    }
}
