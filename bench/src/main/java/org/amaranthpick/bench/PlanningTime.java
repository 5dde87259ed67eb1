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
import org.amaranthpick.core.placement.ModelRequirement;
import org.amaranthpick.core.placement.Plan;
import org.amaranthpick.core.placement.PlanInput;
import org.amaranthpick.core.placement.Planner;

/** Measures the time of one plan against the number of engines. */
public final class PlanningTime {
    private static final int DOMAINS = 10;
    private static final int MODELS = 12;
    private static final int WARM_UPS = 10;
    private static final int RUNS = 15;
    private static final double NANOS_PER_MILLI = 1e6;

    private PlanningTime() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println(
                "engines  first plan ms  repair plan, all ms  repair plan, one domain ms");
        for (int engines : new int[] {40, 250, 1_000, 2_500}) {
            measure(engines);
        }
    }

    private static void measure(int count) {
        PlacementFleet fleet =
                new PlacementFleet(
                        new PlacementFleet.Sizes(
                                DOMAINS,
                                1,
                                count,
                                MODELS,
                                1L << 29,
                                PlacementFleet.weightStore(10, 8)));
        List<ModelRequirement> requirements = requirements(fleet, count);
        List<EngineView> empty = fleet.views();
        Set<Identity> all = new HashSet<>();
        empty.forEach(engine -> all.add(engine.domain()));
        Planner planner = new LayerTreePlanner();
        Plan plan = planner.plan(input(empty, requirements, all));
        List<EngineView> broken = new ArrayList<>();
        for (EngineView engine : empty) {
            boolean dead = broken.size() == count / 2;
            broken.add(dead ? dead(engine) : engine.withHoldings(plan.targets().get(engine.id())));
        }
        Identity domain = broken.get(count / 2).domain();
        System.out.printf(
                Locale.ROOT,
                "%7d  %13.2f  %19.2f  %26.2f%n",
                count,
                medianMs(planner, input(empty, requirements, all)),
                medianMs(planner, input(broken, requirements, all)),
                medianMs(planner, input(broken, requirements, Set.of(domain))));
    }

    private static List<ModelRequirement> requirements(PlacementFleet fleet, int engines) {
        List<ModelRequirement> requirements = new ArrayList<>();
        for (ModelVersionSpec model : fleet.mConfiguration.manifest().modelVersions()) {
            double demand = 100.0 * engines / (1 + requirements.size());
            requirements.add(new ModelRequirement(model, demand, 1, List.of(), false));
        }
        return requirements;
    }

    private static PlanInput input(
            List<EngineView> engines, List<ModelRequirement> requirements, Set<Identity> planned) {
        return new PlanInput(engines, requirements, planned, Set.of(), Set.of());
    }

    private static EngineView dead(EngineView e) {
        return new EngineView(
                e.id(),
                e.domain(),
                e.rack(),
                e.memoryBytes(),
                e.layerTokensPerSecond(),
                false,
                List.of());
    }

    private static double medianMs(Planner planner, PlanInput input) {
        for (int i = 0; i < WARM_UPS; i++) {
            planner.plan(input);
        }
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            long startNs = System.nanoTime();
            planner.plan(input);
            times.add((System.nanoTime() - startNs) / NANOS_PER_MILLI);
        }
        times.sort(Double::compare);
        return times.get(RUNS / 2);
    }
}
