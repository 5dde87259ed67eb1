package org.amaranthpick.core.manifest;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Upstream: a model engine or one instance of a plain service.
 *
 * @param id identity of kind UPSTREAM
 * @param role what it is
 * @param domain failure domain it stands in
 * @param host host it runs on, if stated
 * @param address base address by IP number
 * @param accelerator its accelerators; present for engines only
 * @param honoursFencing true if it refuses an order with an old fencing number
 * @param checksOrderer true if it checks who gives it an order
 * @param initial what an engine holds when it starts; wanted state comes from placement
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
        List<Holding> initial) {

    /** What an upstream is. */
    public enum Role {
        ENGINE,
        SERVICE
    }

    /**
     * Layers of a model version that an engine holds.
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
        initial = List.copyOf(initial);
    }
}
