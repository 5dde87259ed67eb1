package org.amaranthpick.core.manifest;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Upstream: an engine that runs models, or one instance of a service.
 *
 * @param id identity of kind UPSTREAM
 * @param role role of the upstream
 * @param domain failure domain that contains the upstream
 * @param host host that runs the upstream, if stated
 * @param address base URL with an IP address
 * @param accelerator accelerators of the upstream; present for engines only
 * @param honoursFencing true if the upstream refuses orders with an outdated fencing number
 * @param checksOrderer true if the upstream checks which orderer sent an order
 * @param initialHoldings layers and adapters that an engine holds when it starts; placement decides
 *     what it holds later
 */
public record UpstreamSpec(
        Identity id,
        Role role,
        Identity domain,
        Optional<Identity> host,
        URI address,
        Optional<AcceleratorSpec> accelerator,
        boolean honoursFencing,
        boolean checksOrderer,
        List<Holding> initialHoldings) {

    /** Role of an upstream. */
    public enum Role {
        ENGINE,
        SERVICE
    }

    /**
     * Layers and adapters of a model version that an engine holds.
     *
     * @param modelVersion identity of kind MODEL_VERSION
     * @param layers layers held
     * @param adapters adapters held for this model version
     */
    public record Holding(Identity modelVersion, LayerRange layers, List<Identity> adapters) {
        /** Copies the list. */
        public Holding {
            adapters = List.copyOf(adapters);
        }
    }

    /** Copies the list. */
    public UpstreamSpec {
        initialHoldings = List.copyOf(initialHoldings);
    }
}
