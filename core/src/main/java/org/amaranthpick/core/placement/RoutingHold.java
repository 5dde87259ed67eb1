package org.amaranthpick.core.placement;

import java.time.Instant;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * Routing hold of one engine: no new work is routed to the given model versions there, because an
 * order is about to unload them or change their layers.
 *
 * @param upstream engine
 * @param modelVersions model versions that are held
 * @param fence fencing number of the owner that set the hold
 * @param since time at which the hold was set
 */
public record RoutingHold(
        Identity upstream, Set<Identity> modelVersions, long fence, Instant since) {
    /** Copies the set. */
    public RoutingHold {
        modelVersions = Set.copyOf(modelVersions);
    }
}
