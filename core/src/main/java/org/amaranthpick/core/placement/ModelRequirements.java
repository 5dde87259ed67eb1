package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.AdapterSpec;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Derives the requirements of all model versions from configuration and demand. Retired model
 * versions stay included for a grace period.
 */
final class ModelRequirements {
    private static final double DEMAND_STEP_FACTOR = 1.1;

    private final PlacementContext mContext;
    private final DemandView mDemand;
    private final Map<Identity, Long> mLastUsedNs = new HashMap<>();

    ModelRequirements(PlacementContext context, DemandView demand) {
        mContext = context;
        mDemand = demand;
    }

    /**
     * Returns the current requirements.
     *
     * @param configuration configuration in force
     * @return requirements sorted by model version
     */
    List<ModelRequirement> current(Configuration configuration) {
        long nowNs = mContext.scheduler().monotonicNs();
        Map<Identity, Integer> minChains = new HashMap<>();
        for (PipelineSpec pipeline : configuration.manifest().pipelines()) {
            minChains.merge(pipeline.modelVersion(), pipeline.minChains(), Math::max);
        }
        minChains.keySet().forEach(id -> mLastUsedNs.put(id, nowNs));
        List<ModelRequirement> requirements = new ArrayList<>();
        for (ModelVersionSpec model : configuration.manifest().modelVersions()) {
            long lastUsedNs = mLastUsedNs.computeIfAbsent(model.id(), id -> nowNs);
            boolean retired = !minChains.containsKey(model.id());
            boolean inGracePeriod =
                    nowNs - lastUsedNs <= mContext.settings().retiredGrace().toNanos();
            if (!retired || inGracePeriod) {
                requirements.add(requirement(configuration, model, minChains, retired));
            }
        }
        requirements.sort(Comparator.comparing(requirement -> requirement.model().id()));
        return requirements;
    }

    private ModelRequirement requirement(
            Configuration configuration,
            ModelVersionSpec model,
            Map<Identity, Integer> minChains,
            boolean retired) {
        return new ModelRequirement(
                model,
                roundUpToStep(mDemand.tokensPerSecond(model.id())),
                minChains.getOrDefault(model.id(), 1),
                adapters(configuration, model.id()),
                retired);
    }

    /**
     * Rounds demand up to the next power of the step factor, so that small changes cause no new
     * plan.
     */
    private static double roundUpToStep(double tokensPerSecond) {
        if (tokensPerSecond < 1) {
            return 0;
        }
        return Math.pow(
                DEMAND_STEP_FACTOR,
                Math.ceil(Math.log(tokensPerSecond) / Math.log(DEMAND_STEP_FACTOR)));
    }

    private List<AdapterSpec> adapters(Configuration configuration, Identity model) {
        return configuration.manifest().pipelines().stream()
                .filter(pipeline -> pipeline.modelVersion().equals(model))
                .flatMap(pipeline -> pipeline.adapter().stream())
                .distinct()
                .flatMap(id -> configuration.adapter(id).stream())
                .sorted(
                        Comparator.<AdapterSpec>comparingDouble(a -> -mDemand.adapterUse(a.id()))
                                .thenComparing(AdapterSpec::id))
                .toList();
    }
}
