package org.amaranthpick.core.placement;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.peer.MessageCodec;
import org.amaranthpick.core.peer.RecordCodec;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codecs of placement messages. */
public final class PlacementCodecs {
    private PlacementCodecs() {}

    /**
     * Returns the codecs of all placement messages.
     *
     * @return codecs
     */
    public static List<MessageCodec<?>> all() {
        return List.of(
                new RecordCodec<PlacementMessage.HoldNotice>(
                        PlacementMessage.HOLD_NOTICE,
                        5,
                        PlacementCodecs::packHolds,
                        PlacementCodecs::unpackHolds),
                new RecordCodec<PlacementMessage.LoadNotice>(
                        PlacementMessage.LOAD_NOTICE,
                        3,
                        PlacementCodecs::packLoads,
                        PlacementCodecs::unpackLoads));
    }

    private static void packIdentity(Identity id, MessagePacker packer) throws IOException {
        packer.packString(id.qualifiedName());
    }

    private static Identity unpackIdentity(ResourceKind kind, MessageUnpacker unpacker)
            throws IOException {
        return Identity.resolve("", kind, unpacker.unpackString());
    }

    private static void packHolds(PlacementMessage.HoldNotice message, MessagePacker packer)
            throws IOException {
        packIdentity(message.shard(), packer);
        packer.packLong(message.fence());
        packer.packLong(message.sequence());
        packer.packBoolean(message.relay());
        packer.packArrayHeader(message.holds().size());
        for (PlacementMessage.EngineHold held : message.holds()) {
            packIdentity(held.upstream(), packer);
            packer.packArrayHeader(held.modelVersions().size());
            for (Identity model : held.modelVersions()) {
                packIdentity(model, packer);
            }
        }
    }

    private static PlacementMessage.HoldNotice unpackHolds(MessageUnpacker unpacker)
            throws IOException {
        Identity shard = unpackIdentity(ResourceKind.DOMAIN, unpacker);
        long fence = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        boolean relay = unpacker.unpackBoolean();
        int count = unpacker.unpackArrayHeader();
        List<PlacementMessage.EngineHold> holds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            holds.add(unpackHeld(unpacker));
        }
        return new PlacementMessage.HoldNotice(shard, fence, sequence, relay, holds);
    }

    private static PlacementMessage.EngineHold unpackHeld(MessageUnpacker unpacker)
            throws IOException {
        Identity upstream = unpackIdentity(ResourceKind.UPSTREAM, unpacker);
        int count = unpacker.unpackArrayHeader();
        Set<Identity> models = new HashSet<>();
        for (int i = 0; i < count; i++) {
            models.add(unpackIdentity(ResourceKind.MODEL_VERSION, unpacker));
        }
        return new PlacementMessage.EngineHold(upstream, models);
    }

    private static void packLoads(PlacementMessage.LoadNotice message, MessagePacker packer)
            throws IOException {
        packIdentity(message.shard(), packer);
        packer.packLong(message.fence());
        packer.packInt(message.loads());
    }

    private static PlacementMessage.LoadNotice unpackLoads(MessageUnpacker unpacker)
            throws IOException {
        Identity shard = unpackIdentity(ResourceKind.DOMAIN, unpacker);
        long fence = unpacker.unpackLong();
        int loads = unpacker.unpackInt();
        return new PlacementMessage.LoadNotice(shard, fence, loads);
    }
}
