package org.amaranthpick.core.route;

import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Chain of hops that together run every layer of a model version exactly once, in order.
 *
 * @param modelVersion identity of kind MODEL_VERSION
 * @param hops hops, ordered by layer
 */
public record Chain(Identity modelVersion, List<Hop> hops) {
    /**
     * Checks that the hops start at layer 0 and are contiguous.
     *
     * @throws IllegalArgumentException if there are no hops, or if there is a gap or an overlap
     *     between them
     */
    public Chain {
        hops = List.copyOf(hops);
        if (hops.isEmpty()) {
            throw new IllegalArgumentException("a chain needs at least one hop");
        }
        int nextLayer = 0;
        for (Hop hop : hops) {
            if (hop.layers().from() != nextLayer) {
                throw new IllegalArgumentException(
                        "hops are not contiguous: expected layer "
                                + nextLayer
                                + ", got "
                                + hop.layers());
            }
            nextLayer = hop.layers().to();
        }
    }

    /**
     * Returns the layers that the chain runs.
     *
     * @return range from layer 0 to the end of the last hop
     */
    public LayerRange layers() {
        return new LayerRange(0, hops.get(hops.size() - 1).layers().to());
    }

    /**
     * Returns whether an upstream runs a hop of the chain.
     *
     * @param upstream identity of kind UPSTREAM
     * @return true if at least one hop runs on it
     */
    public boolean uses(Identity upstream) {
        return hops.stream().anyMatch(hop -> hop.upstream().equals(upstream));
    }
}
