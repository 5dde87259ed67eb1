package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.LeastLoadedTargetPolicy;
import org.amaranthpick.core.room.RoomView;

/** Room of the chains that a target policy has found. */
public final class ChainRoom implements RoomSource {
    private static final Duration UNKNOWN_REPAIR_TIME = Duration.ofSeconds(1);

    private final LeastLoadedTargetPolicy mPolicy;
    private final RoomView mView;

    /**
     * Creates a source.
     *
     * @param policy chooses the chains
     * @param view room of each chain
     */
    public ChainRoom(LeastLoadedTargetPolicy policy, RoomView view) {
        mPolicy = policy;
        mView = view;
    }

    @Override
    public Optional<ModelRoom> room(GatewayService service, long nowNs) {
        Optional<ModelRoom> room = ModelRoom.of(mPolicy.usableChains(service, nowNs), mView, nowNs);
        if (room.isEmpty() || mPolicy.admits(service, nowNs)) {
            return room;
        }
        Duration repair = mPolicy.expectedCapacityTime(service, nowNs).orElse(UNKNOWN_REPAIR_TIME);
        return room.map(known -> known.closed(repair));
    }
}
