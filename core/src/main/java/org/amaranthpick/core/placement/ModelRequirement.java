package org.amaranthpick.core.placement;

import java.util.List;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.ModelVersionSpec;

/**
 * Requirements of one model version.
 *
 * @param model the model version
 * @param tokensPerSecond demand in generated tokens per second over all domains
 * @param minChains minimum number of working chains, 1 or more
 * @param adapters adapters in use, most used first
 * @param retired true if no pipeline uses it any more: engines keep their holdings, none are added
 */
public record ModelRequirement(
        ModelVersionSpec model,
        double tokensPerSecond,
        int minChains,
        List<AdapterSpec> adapters,
        boolean retired) {
    /** Copies the list. */
    public ModelRequirement {
        adapters = List.copyOf(adapters);
    }
}
