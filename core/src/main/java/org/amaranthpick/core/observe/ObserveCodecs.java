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
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the messages of observation. */
public final class ObserveCodecs {
    private static final int ENTRY_FIELDS = 7;

    private ObserveCodecs() {}

    /**
     * Returns all codecs.
     *
     * @return codecs, one per tag
     */
    public static List<MessageCodec<?>> all() {
        return List.of(new DigestCodec(), new FactsCodec(), new FactsPullCodec());
    }

    private static void skip(MessageUnpacker unpacker, int fields) throws IOException {
        for (int i = 0; i < fields; i++) {
            unpacker.skipValue();
        }
    }

    private static final class DigestCodec implements MessageCodec<ObserveMessage.Digest> {
        private static final int FIELDS = 6;

        @Override
        public int tag() {
            return ObserveMessage.DIGEST_TAG;
        }

        @Override
        public void pack(ObserveMessage.Digest message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
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
                packer.packInt(entry.memoryBucket());
                packer.packInt(entry.flags());
                packer.packInt(entry.facts());
            }
        }

        @Override
        public ObserveMessage.Digest unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
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
            skip(unpacker, fields - FIELDS);
            return new ObserveMessage.Digest(origin, sequence, sentAtMs, salt, route, entries);
        }

        private static ObserveMessage.Route route(int code) throws IOException {
            return ObserveMessage.Route.of(code)
                    .orElseThrow(
                            () ->
                                    new IOException(
                                            "digest route "
                                                    + code
                                                    + " is unknown; drop the message"));
        }
    }

    private static final class FactsCodec implements MessageCodec<ObserveMessage.Facts> {
        private static final int FIELDS = 5;
        private static final int HOLDING_FIELDS = 4;
        private static final long NO_FENCE = -1;

        @Override
        public int tag() {
            return ObserveMessage.FACTS_TAG;
        }

        @Override
        public void pack(ObserveMessage.Facts message, MessagePacker packer) throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packString(message.upstream().fleet());
            packer.packString(message.upstream().name());
            packer.packString(message.facts().bootId());
            packer.packLong(message.facts().fence().orElse(NO_FENCE));
            packer.packArrayHeader(message.facts().holdings().size());
            for (UpstreamSpec.Holding holding : message.facts().holdings()) {
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

        @Override
        public ObserveMessage.Facts unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            String fleet = unpacker.unpackString();
            String name = unpacker.unpackString();
            Identity upstream = new Identity(fleet, ResourceKind.UPSTREAM, name);
            String bootId = unpacker.unpackString();
            long fence = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            List<UpstreamSpec.Holding> holdings = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                holdings.add(holding(unpacker));
            }
            skip(unpacker, fields - FIELDS);
            Optional<Long> known = fence == NO_FENCE ? Optional.empty() : Optional.of(fence);
            return new ObserveMessage.Facts(upstream, new StatusFacts(bootId, holdings, known));
        }

        private static UpstreamSpec.Holding holding(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            Identity model = resolve(ResourceKind.MODEL_VERSION, unpacker.unpackString());
            LayerRange layers = new LayerRange(unpacker.unpackInt(), unpacker.unpackInt());
            int count = unpacker.unpackArrayHeader();
            List<Identity> adapters = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                adapters.add(resolve(ResourceKind.ADAPTER, unpacker.unpackString()));
            }
            skip(unpacker, fields - HOLDING_FIELDS);
            return new UpstreamSpec.Holding(model, layers, adapters);
        }

        private static Identity resolve(ResourceKind kind, String qualifiedName) {
            return Identity.resolve("", kind, qualifiedName);
        }
    }

    private static final class FactsPullCodec implements MessageCodec<ObserveMessage.FactsPull> {
        private static final int FIELDS = 2;

        @Override
        public int tag() {
            return ObserveMessage.FACTS_PULL_TAG;
        }

        @Override
        public void pack(ObserveMessage.FactsPull message, MessagePacker packer)
                throws IOException {
            packer.packArrayHeader(FIELDS);
            packer.packInt(message.salt());
            packer.packArrayHeader(message.codes().size());
            for (int code : message.codes()) {
                packer.packInt(code);
            }
        }

        @Override
        public ObserveMessage.FactsPull unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            int salt = unpacker.unpackInt();
            int count = unpacker.unpackArrayHeader();
            List<Integer> codes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                codes.add(unpacker.unpackInt());
            }
            skip(unpacker, fields - FIELDS);
            return new ObserveMessage.FactsPull(salt, codes);
        }
    }
}
