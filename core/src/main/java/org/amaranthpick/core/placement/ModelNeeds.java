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

/** Works out which model versions are wanted, and keeps retired ones for a while. */
final class ModelNeeds {
    private static final double DEMAND_STEP = 1.1;

    private final PlacementContext mContext;
    private final DemandView mDemand;
    private final Map<Identity, Long> mLastWantedNs = new HashMap<>();

    ModelNeeds(PlacementContext context, DemandView demand) {
        mContext = context;
        mDemand = demand;
    }

    /**
     * Returns the needs as of now.
     *
     * @param configuration configuration in force
     * @return needs sorted by model version
     */
    List<ModelNeed> current(Configuration configuration) {
        long nowNs = mContext.scheduler().monotonicNs();
        Map<Identity, Integer> chains = new HashMap<>();
        for (PipelineSpec pipeline : configuration.manifest().pipelines()) {
            chains.merge(pipeline.modelVersion(), pipeline.minChains(), Math::max);
        }
        chains.keySet().forEach(id -> mLastWantedNs.put(id, nowNs));
        List<ModelNeed> needs = new ArrayList<>();
        for (ModelVersionSpec model : configuration.manifest().modelVersions()) {
            long wantedNs = mLastWantedNs.computeIfAbsent(model.id(), id -> nowNs);
            boolean retired = !chains.containsKey(model.id());
            boolean kept = nowNs - wantedNs <= mContext.settings().retiredGrace().toNanos();
            if (!retired || kept) {
                needs.add(need(configuration, model, chains, retired));
            }
        }
        needs.sort(Comparator.comparing(need -> need.model().id()));
        return needs;
    }

    private ModelNeed need(
            Configuration configuration,
            ModelVersionSpec model,
            Map<Identity, Integer> chains,
            boolean retired) {
        return new ModelNeed(
                model,
                inSteps(mDemand.tokensPerSecond(model.id())),
                chains.getOrDefault(model.id(), 1),
                adapters(configuration, model.id()),
                retired);
    }

    /** Rounds demand up in steps of a tenth, so that small changes make no new plan. */
    private static double inSteps(double tokensPerSecond) {
        if (tokensPerSecond < 1) {
            return 0;
        }
        return Math.pow(DEMAND_STEP, Math.ceil(Math.log(tokensPerSecond) / Math.log(DEMAND_STEP)));
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
