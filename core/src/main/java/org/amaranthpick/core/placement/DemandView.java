package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/** Demand per model version and adapter. */
public interface DemandView {
    /**
     * Returns the demand for a model version over all domains.
     *
     * @param modelVersion identity of kind MODEL_VERSION
     * @return generated tokens per second, 0 or more
     */
    double tokensPerSecond(Identity modelVersion);

    /**
     * Returns the relative use of an adapter.
     *
     * @param adapter identity of kind ADAPTER
     * @return 0 or more; higher means more use
     */
    default double adapterUse(Identity adapter) {
        return 0;
    }
}
