package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;

/**
 * Engine that may run a hop of a chain.
 *
 * @param spec configuration of the engine
 * @param accelerator accelerators of the engine
 * @param layers layers that it holds of the requested model version
 * @param observation last observation, empty before the first one
 */
record Engine(
        UpstreamSpec spec,
        AcceleratorSpec accelerator,
        LayerRange layers,
        Optional<UpstreamObservation> observation) {
    Identity id() {
        return spec.id();
    }

    Identity domain() {
        return spec.domain();
    }

    List<UpstreamSpec.Holding> holdings() {
        return observation.isPresent()
                ? observation.get().status().holdings()
                : spec.initialHoldings();
    }
}
