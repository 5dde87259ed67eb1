package org.amaranthpick.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.placement.EngineView;
import org.amaranthpick.core.placement.LayerTreePlanner;
import org.amaranthpick.core.placement.MaxFlowBound;
import org.amaranthpick.core.placement.ModelRequirement;
import org.amaranthpick.core.placement.Plan;
import org.amaranthpick.core.placement.PlanInput;

/** Measures planned throughput against what the engines could do if layers were free to place. */
public final class PlacementQuality {
    private static final int MAX_ROUNDS = 30;
    private static final double FULL_LOAD = 0.95;

    private PlacementQuality() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println("engines  domains  models  layer GiB  weakest model  served of all");
        for (double layerGib : new double[] {0.25, 0.5, 1}) {
            measure(40, 3, 1, layerGib);
            measure(40, 3, 2, layerGib);
            measure(250, 10, 12, layerGib);
            measure(2_500, 10, 12, layerGib);
        }
    }

    private static void measure(int engines, int domains, int models, double layerGib) {
        PlacementFleet fleet =
                new PlacementFleet(
                        new PlacementFleet.Sizes(
                                domains,
                                1,
                                engines,
                                models,
                                (long) (layerGib * (1L << 30)),
                                PlacementFleet.weightStore(10, 8)));
        List<EngineView> views = fleet.views();
        List<ModelRequirement> requirements = requirements(fleet, views);
        Set<Identity> all = new HashSet<>();
        views.forEach(e -> all.add(e.domain()));
        for (int round = 0; round < MAX_ROUNDS; round++) {
            Plan plan =
                    new LayerTreePlanner()
                            .plan(new PlanInput(views, requirements, all, Set.of(), Set.of()));
            views = views.stream().map(e -> e.withHoldings(plan.targets().get(e.id()))).toList();
        }
        double weakest = Double.MAX_VALUE;
        double served = 0;
        for (ModelRequirement requirement : requirements) {
            double bound = MaxFlowBound.tokensPerSecond(requirement.model(), views);
            double share = bound / requirement.tokensPerSecond();
            weakest = Math.min(weakest, share);
            served += Math.min(1, share) / requirements.size();
        }
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %6d  %9.2f  %13.3f  %13.3f%n",
                engines,
                domains,
                models,
                layerGib,
                weakest,
                served);
    }

    /** Equal layer work for each model, in all just below what the engines can do. */
    private static List<ModelRequirement> requirements(
            PlacementFleet fleet, List<EngineView> views) {
        double capacity = views.stream().mapToDouble(EngineView::layerTokensPerSecond).sum();
        List<ModelVersionSpec> models = fleet.mConfiguration.manifest().modelVersions();
        List<ModelRequirement> requirements = new ArrayList<>();
        for (ModelVersionSpec model : models) {
            double demand = FULL_LOAD * capacity / models.size() / model.layers();
            requirements.add(new ModelRequirement(model, demand, 1, List.of(), false));
        }
        return requirements;
    }
}
