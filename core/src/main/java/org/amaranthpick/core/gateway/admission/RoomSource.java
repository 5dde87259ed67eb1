package org.amaranthpick.core.gateway.admission;

import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayService;

/** Source of the room that the model of a service has left. */
@FunctionalInterface
public interface RoomSource {
    /**
     * Returns the room of a service.
     *
     * @param service the service
     * @param nowNs monotonic time
     * @return room; empty if the service runs no model, or if its room is unknown
     */
    Optional<ModelRoom> room(GatewayService service, long nowNs);
}
