package org.amaranthpick.core.placement;

import java.time.Instant;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * Model versions of one engine to which no new work is routed, because an order is about to unload
 * them or change their layers.
 *
 * @param upstream engine
 * @param modelVersions model versions held back
 * @param fence fencing number of the control shard's owner that set the hold
 * @param since when the hold was set
 */
public record RoutingHold(
        Identity upstream, Set<Identity> modelVersions, long fence, Instant since) {
    /** Copies the set. */
    public RoutingHold {
        modelVersions = Set.copyOf(modelVersions);
    }
}
