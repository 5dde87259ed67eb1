package org.amaranthpick.core.placement;

import java.util.List;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Engine as placement sees it.
 *
 * @param id identity of kind UPSTREAM
 * @param domain failure domain
 * @param rack rack or switch that it shares with others, empty if unknown
 * @param memoryBytes memory for weights, adapters and KV cache
 * @param layerTokensPerSecond generated tokens times layers per second
 * @param usable true if it is reached, not leaving and does what it is told
 * @param holdings what it holds, or is about to hold
 */
public record EngineView(
        Identity id,
        Identity domain,
        String rack,
        long memoryBytes,
        double layerTokensPerSecond,
        boolean usable,
        List<UpstreamSpec.Holding> holdings) {
    /** Copies the list. */
    public EngineView {
        holdings = List.copyOf(holdings);
    }

    /**
     * Returns this engine with other holdings.
     *
     * @param other what it holds
     * @return changed copy
     */
    public EngineView holding(List<UpstreamSpec.Holding> other) {
        return new EngineView(id, domain, rack, memoryBytes, layerTokensPerSecond, usable, other);
    }
}
