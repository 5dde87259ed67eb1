package org.amaranthpick.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.placement.EngineView;
import org.amaranthpick.core.placement.FromScratchPlanner;
import org.amaranthpick.core.placement.LayerTreePlanner;
import org.amaranthpick.core.placement.MaxFlowBound;
import org.amaranthpick.core.placement.ModelRequirement;
import org.amaranthpick.core.placement.Plan;
import org.amaranthpick.core.placement.PlanInput;
import org.amaranthpick.core.placement.Planner;

/** Measures weights moved per change and throughput kept, against planning from scratch. */
public final class PlacementMovement {
    private static final int DOMAINS = 10;
    private static final int ENGINES = 250;
    private static final int MODELS = 12;
    private static final int MAX_ROUNDS = 20;
    private static final long LAYER_BYTES = 1L << 29;
    private static final double GIB = 1L << 30;

    private PlacementMovement() {}

    /**
     * Prints the table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        PlacementFleet fleet =
                new PlacementFleet(
                        new PlacementFleet.Sizes(
                                DOMAINS,
                                1,
                                ENGINES,
                                MODELS,
                                LAYER_BYTES,
                                PlacementFleet.weightStore(10, 8)));
        List<ModelRequirement> requirements = requirements(fleet, 1);
        List<EngineView> settled = settle(new LayerTreePlanner(), fleet.views(), requirements);
        System.out.println("change            moved GiB  served share   scratch GiB  served share");
        report("one engine dies", settled, lose(settled, e -> index(e) == 40), requirements);
        report("a rack dies", settled, lose(settled, PlacementMovement::inRack), requirements);
        report("a domain dies", settled, lose(settled, e -> domain(e).equals("d3")), requirements);
        List<EngineView> gap = lose(settled, e -> index(e) < 20);
        List<EngineView> joined = settle(new LayerTreePlanner(), gap, requirements);
        report("20 engines join", joined, revive(joined, settled), requirements);
        report("demand shifts", settled, settled, requirements(fleet, 1.5));
        report("demand +10%", settled, settled, requirements(fleet, 1.1));
    }

    private static int index(EngineView engine) {
        return Integer.parseInt(engine.id().name().substring(1));
    }

    private static String domain(EngineView engine) {
        return engine.domain().name();
    }

    private static boolean inRack(EngineView engine) {
        return domain(engine).equals("d2") && engine.rack().equals("rack1");
    }

    /** Demand for each model version; the first ones grow by a factor. */
    private static List<ModelRequirement> requirements(PlacementFleet fleet, double factor) {
        List<ModelRequirement> requirements = new ArrayList<>();
        for (ModelVersionSpec model : fleet.mConfiguration.manifest().modelVersions()) {
            double grown = requirements.size() < 3 ? factor : 1;
            double demand = 48_000.0 * grown / (1 + requirements.size());
            requirements.add(new ModelRequirement(model, demand, 1, List.of(), false));
        }
        return requirements;
    }

    private static List<EngineView> lose(List<EngineView> engines, Predicate<EngineView> lost) {
        return engines.stream().map(e -> lost.test(e) ? with(e, false) : e).toList();
    }

    private static List<EngineView> revive(List<EngineView> engines, List<EngineView> all) {
        Set<Identity> known = new HashSet<>();
        all.forEach(e -> known.add(e.id()));
        return engines.stream()
                .map(e -> e.usable() || !known.contains(e.id()) ? e : with(e, true))
                .toList();
    }

    private static EngineView with(EngineView e, boolean usable) {
        return new EngineView(
                e.id(),
                e.domain(),
                e.rack(),
                e.memoryBytes(),
                e.layerTokensPerSecond(),
                usable,
                List.of());
    }

    private static List<EngineView> settle(
            Planner planner, List<EngineView> start, List<ModelRequirement> requirements) {
        List<EngineView> now = start;
        for (int round = 0; round < MAX_ROUNDS; round++) {
            now = apply(planner, now, requirements);
        }
        return now;
    }

    private static List<EngineView> apply(
            Planner planner, List<EngineView> engines, List<ModelRequirement> requirements) {
        Set<Identity> domains = new HashSet<>();
        engines.forEach(e -> domains.add(e.domain()));
        Plan plan = planner.plan(new PlanInput(engines, requirements, domains, Set.of(), Set.of()));
        return engines.stream()
                .map(e -> e.withHoldings(plan.targets().getOrDefault(e.id(), List.of())))
                .toList();
    }

    private static void report(
            String change,
            List<EngineView> before,
            List<EngineView> after,
            List<ModelRequirement> requirements) {
        Planner incremental = new LayerTreePlanner();
        List<EngineView> settled = settle(incremental, after, requirements);
        List<EngineView> scratch = apply(new FromScratchPlanner(incremental), after, requirements);
        System.out.printf(
                Locale.ROOT,
                "%-16s  %9.0f  %12.3f  %12.0f  %12.3f%n",
                change,
                movedGib(before, settled),
                served(settled, requirements),
                movedGib(before, scratch),
                served(scratch, requirements));
    }

    private static double movedGib(List<EngineView> before, List<EngineView> after) {
        Map<Identity, List<UpstreamSpec.Holding>> held = new HashMap<>();
        before.forEach(e -> held.put(e.id(), e.holdings()));
        double moved = 0;
        for (EngineView engine : after) {
            for (UpstreamSpec.Holding target : engine.holdings()) {
                int layers = target.layers().size();
                for (UpstreamSpec.Holding had : held.get(engine.id())) {
                    layers -= overlap(had, target);
                }
                moved += Math.max(0, layers) * LAYER_BYTES / GIB;
            }
        }
        return moved;
    }

    private static int overlap(UpstreamSpec.Holding one, UpstreamSpec.Holding other) {
        if (!one.modelVersion().equals(other.modelVersion())) {
            return 0;
        }
        int from = Math.max(one.layers().from(), other.layers().from());
        int to = Math.min(one.layers().to(), other.layers().to());
        return Math.max(0, to - from);
    }

    /** Share of the demand that the maximum flow of the layer graphs serves. */
    private static double served(List<EngineView> engines, List<ModelRequirement> requirements) {
        double wanted = 0;
        double served = 0;
        for (ModelRequirement requirement : requirements) {
            double bound = MaxFlowBound.tokensPerSecond(requirement.model(), engines);
            wanted += requirement.tokensPerSecond();
            served += Math.min(requirement.tokensPerSecond(), bound);
        }
        return served / wanted;
    }
}
