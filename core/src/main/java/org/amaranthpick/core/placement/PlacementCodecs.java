package org.amaranthpick.core.placement;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of the messages of placement. */
public final class PlacementCodecs {
    private PlacementCodecs() {}

    /**
     * Returns the codecs of all messages of placement.
     *
     * @return codecs
     */
    public static List<MessageCodec<?>> all() {
        return List.of(new HoldNoticeCodec(), new LoadNoticeCodec());
    }

    private static void packIdentity(Identity id, MessagePacker packer) throws IOException {
        packer.packString(id.qualifiedName());
    }

    private static Identity unpackIdentity(ResourceKind kind, MessageUnpacker unpacker)
            throws IOException {
        return Identity.resolve("", kind, unpacker.unpackString());
    }

    private static void skip(MessageUnpacker unpacker, int fields) throws IOException {
        if (fields > 0) {
            unpacker.skipValue(fields);
        }
    }

    private static final class HoldNoticeCodec
            implements MessageCodec<PlacementMessage.HoldNotice> {
        private static final int FIELDS = 5;

        @Override
        public int tag() {
            return PlacementMessage.HOLD_NOTICE;
        }

        @Override
        public void pack(PlacementMessage.HoldNotice message, MessagePacker packer)
                throws IOException {
            packer.packArrayHeader(FIELDS);
            packIdentity(message.shard(), packer);
            packer.packLong(message.fence());
            packer.packLong(message.sequence());
            packer.packBoolean(message.relay());
            packer.packArrayHeader(message.holds().size());
            for (PlacementMessage.Held held : message.holds()) {
                packIdentity(held.upstream(), packer);
                packer.packArrayHeader(held.modelVersions().size());
                for (Identity model : held.modelVersions()) {
                    packIdentity(model, packer);
                }
            }
        }

        @Override
        public PlacementMessage.HoldNotice unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            Identity shard = unpackIdentity(ResourceKind.DOMAIN, unpacker);
            long fence = unpacker.unpackLong();
            long sequence = unpacker.unpackLong();
            boolean relay = unpacker.unpackBoolean();
            int count = unpacker.unpackArrayHeader();
            List<PlacementMessage.Held> holds = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                holds.add(unpackHeld(unpacker));
            }
            skip(unpacker, fields - FIELDS);
            return new PlacementMessage.HoldNotice(shard, fence, sequence, relay, holds);
        }

        private static PlacementMessage.Held unpackHeld(MessageUnpacker unpacker)
                throws IOException {
            Identity upstream = unpackIdentity(ResourceKind.UPSTREAM, unpacker);
            int count = unpacker.unpackArrayHeader();
            Set<Identity> models = new HashSet<>();
            for (int i = 0; i < count; i++) {
                models.add(unpackIdentity(ResourceKind.MODEL_VERSION, unpacker));
            }
            return new PlacementMessage.Held(upstream, models);
        }
    }

    private static final class LoadNoticeCodec
            implements MessageCodec<PlacementMessage.LoadNotice> {
        private static final int FIELDS = 3;

        @Override
        public int tag() {
            return PlacementMessage.LOAD_NOTICE;
        }

        @Override
        public void pack(PlacementMessage.LoadNotice message, MessagePacker packer)
                throws IOException {
            packer.packArrayHeader(FIELDS);
            packIdentity(message.shard(), packer);
            packer.packLong(message.fence());
            packer.packInt(message.loads());
        }

        @Override
        public PlacementMessage.LoadNotice unpack(MessageUnpacker unpacker) throws IOException {
            int fields = unpacker.unpackArrayHeader();
            Identity shard = unpackIdentity(ResourceKind.DOMAIN, unpacker);
            long fence = unpacker.unpackLong();
            int loads = unpacker.unpackInt();
            skip(unpacker, fields - FIELDS);
            return new PlacementMessage.LoadNotice(shard, fence, loads);
        }
    }
}
