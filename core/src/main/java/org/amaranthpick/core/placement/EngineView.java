package org.amaranthpick.core.placement;

import java.util.List;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Engine as the planner sees it.
 *
 * @param id identity of kind UPSTREAM
 * @param domain failure domain
 * @param rack rack or switch that it shares with others, empty if unknown
 * @param memoryBytes memory for weights, adapters and KV cache
 * @param layerTokensPerSecond generated tokens times layers per second
 * @param usable true if it is reachable, not leaving and carries out its orders
 * @param holdings its holdings, or those that it is about to have
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
     * @param other new holdings
     * @return changed copy
     */
    public EngineView withHoldings(List<UpstreamSpec.Holding> other) {
        return new EngineView(id, domain, rack, memoryBytes, layerTokensPerSecond, usable, other);
    }
}
