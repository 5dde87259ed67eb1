package org.amaranthpick.core.route;

import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Chain of stages that runs every layer of a model version once, in order.
 *
 * @param modelVersion identity of kind MODEL_VERSION
 * @param hops stages, first layers first
 */
public record Chain(Identity modelVersion, List<Hop> hops) {
    /**
     * Checks that the hops are contiguous from layer 0.
     *
     * @throws IllegalArgumentException if there is no hop, a gap or an overlap
     */
    public Chain {
        hops = List.copyOf(hops);
        if (hops.isEmpty()) {
            throw new IllegalArgumentException("chain without hops; give at least one");
        }
        int next = 0;
        for (Hop hop : hops) {
            if (hop.layers().from() != next) {
                throw new IllegalArgumentException(
                        "chain expects layer " + next + " next, not " + hop.layers());
            }
            next = hop.layers().to();
        }
    }

    /**
     * Returns the layers run.
     *
     * @return 0 to the end of the last hop
     */
    public LayerRange layers() {
        return new LayerRange(0, hops.get(hops.size() - 1).layers().to());
    }

    /**
     * Tells whether an upstream is part of the chain.
     *
     * @param upstream identity of kind UPSTREAM
     * @return true if one hop runs there
     */
    public boolean uses(Identity upstream) {
        return hops.stream().anyMatch(hop -> hop.upstream().equals(upstream));
    }
}
