package org.amaranthpick.core.observe;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.MessageFields;
import org.amaranthpick.core.peer.RecordCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the {@link ObserveMessage} types. */
public final class ObserveCodecs {
    private static final int ENTRY_FIELDS = 7;
    private static final int HOLDING_FIELDS = 4;
    private static final long NO_FENCE = -1;

    private ObserveCodecs() {}

    /**
     * Returns all codecs.
     *
     * @return one codec per message tag
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new RecordCodec<ObserveMessage.Digest>(
                        ObserveMessage.DIGEST_TAG,
                        6,
                        ObserveCodecs::packDigest,
                        ObserveCodecs::unpackDigest),
                new RecordCodec<ObserveMessage.Metadata>(
                        ObserveMessage.METADATA_TAG,
                        5,
                        ObserveCodecs::packMetadata,
                        ObserveCodecs::unpackMetadata),
                new RecordCodec<ObserveMessage.MetadataRequest>(
                        ObserveMessage.METADATA_REQUEST_TAG,
                        2,
                        ObserveCodecs::packMetadataRequest,
                        ObserveCodecs::unpackMetadataRequest));
    }

    private static void packDigest(ObserveMessage.Digest message, MessagePacker packer)
            throws IOException {
        packer.packString(message.origin());
        packer.packLong(message.sequence());
        packer.packLong(message.sentAtMs());
        packer.packInt(message.salt());
        packer.packInt(message.route().code());
        packer.packArrayHeader(message.entries().size() * ENTRY_FIELDS);
        for (LoadEntry entry : message.entries()) {
            packer.packInt(entry.code());
            packer.packInt(entry.ageMs());
            packer.packInt(entry.streams());
            packer.packInt(entry.queuedBucket());
            packer.packInt(entry.freeMemoryBucket());
            packer.packInt(entry.flags());
            packer.packInt(entry.metadataHash());
        }
    }

    private static ObserveMessage.Digest unpackDigest(MessageUnpacker unpacker) throws IOException {
        String origin = unpacker.unpackString();
        long sequence = unpacker.unpackLong();
        long sentAtMs = unpacker.unpackLong();
        int salt = unpacker.unpackInt();
        ObserveMessage.Route route = route(unpacker.unpackInt());
        int count = unpacker.unpackArrayHeader() / ENTRY_FIELDS;
        List<LoadEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new LoadEntry(
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt()));
        }
        return new ObserveMessage.Digest(origin, sequence, sentAtMs, salt, route, entries);
    }

    private static ObserveMessage.Route route(int code) throws IOException {
        return ObserveMessage.Route.of(code)
                .orElseThrow(
                        () ->
                                new IOException(
                                        "unknown digest route code " + code + "; message dropped"));
    }

    private static void packMetadata(ObserveMessage.Metadata message, MessagePacker packer)
            throws IOException {
        packer.packString(message.upstream().fleet());
        packer.packString(message.upstream().name());
        packer.packString(message.metadata().bootId());
        packer.packLong(message.metadata().fence().orElse(NO_FENCE));
        packer.packArrayHeader(message.metadata().holdings().size());
        for (UpstreamSpec.Holding holding : message.metadata().holdings()) {
            packer.packArrayHeader(HOLDING_FIELDS);
            packer.packString(holding.modelVersion().qualifiedName());
            packer.packInt(holding.layers().from());
            packer.packInt(holding.layers().to());
            packer.packArrayHeader(holding.adapters().size());
            for (Identity adapter : holding.adapters()) {
                packer.packString(adapter.qualifiedName());
            }
        }
    }

    private static ObserveMessage.Metadata unpackMetadata(MessageUnpacker unpacker)
            throws IOException {
        String fleet = unpacker.unpackString();
        String name = unpacker.unpackString();
        Identity upstream = new Identity(fleet, ResourceKind.UPSTREAM, name);
        String bootId = unpacker.unpackString();
        long fence = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        List<UpstreamSpec.Holding> holdings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            holdings.add(unpackHolding(unpacker));
        }
        Optional<Long> optionalFence = fence == NO_FENCE ? Optional.empty() : Optional.of(fence);
        return new ObserveMessage.Metadata(
                upstream, new UpstreamMetadata(bootId, holdings, optionalFence));
    }

    private static UpstreamSpec.Holding unpackHolding(MessageUnpacker unpacker) throws IOException {
        int extra = MessageFields.unpackHeader(unpacker, HOLDING_FIELDS);
        Identity model = resolve(ResourceKind.MODEL_VERSION, unpacker.unpackString());
        LayerRange layers = new LayerRange(unpacker.unpackInt(), unpacker.unpackInt());
        int count = unpacker.unpackArrayHeader();
        List<Identity> adapters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            adapters.add(resolve(ResourceKind.ADAPTER, unpacker.unpackString()));
        }
        MessageFields.skipExtra(unpacker, extra);
        return new UpstreamSpec.Holding(model, layers, adapters);
    }

    private static Identity resolve(ResourceKind kind, String qualifiedName) {
        return Identity.resolve("", kind, qualifiedName);
    }

    private static void packMetadataRequest(
            ObserveMessage.MetadataRequest message, MessagePacker packer) throws IOException {
        packer.packInt(message.salt());
        packer.packArrayHeader(message.codes().size());
        for (int code : message.codes()) {
            packer.packInt(code);
        }
    }

    private static ObserveMessage.MetadataRequest unpackMetadataRequest(MessageUnpacker unpacker)
            throws IOException {
        int salt = unpacker.unpackInt();
        int count = unpacker.unpackArrayHeader();
        List<Integer> codes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            codes.add(unpacker.unpackInt());
        }
        return new ObserveMessage.MetadataRequest(salt, codes);
    }
}
