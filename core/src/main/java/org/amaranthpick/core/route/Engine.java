package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;

/**
 * Engine that may take a part of a chain.
 *
 * @param spec its configuration
 * @param accelerator its accelerators
 * @param layers layers that it holds of the model version asked for
 * @param seen its last observation, empty before the first
 */
record Engine(
        UpstreamSpec spec,
        AcceleratorSpec accelerator,
        LayerRange layers,
        Optional<UpstreamObservation> seen) {
    Identity id() {
        return spec.id();
    }

    Identity domain() {
        return spec.domain();
    }

    List<UpstreamSpec.Holding> holdings() {
        return seen.isPresent() ? seen.get().status().holdings() : spec.initial();
    }
}
