package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LayerTreePlannerTest {
    private final Planner mPlanner = new LayerTreePlanner();

    private static List<ModelNeed> needs(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> Fleets.model("m" + i, 32 + 16 * (i % 3), Fleets.GIB * (1 + i % 2)))
                .map(model -> Fleets.need(model, 500))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"40, 3, 2", "40, 3, 4", "250, 3, 12", "500, 10, 12"})
    void lossOfAnyDomainLeavesAChainOfEveryModel(int count, int domains, int models) {
        List<EngineView> engines = Fleets.mixed(count, domains);
        List<ModelNeed> needs = needs(models);
        List<EngineView> placed =
                Fleets.apply(engines, mPlanner.plan(Fleets.input(engines, needs)));
        for (Identity lost : Fleets.domains(engines)) {
            List<EngineView> left = placed.stream().filter(e -> !e.domain().equals(lost)).toList();
            for (ModelNeed need : needs) {
                double bound = MaxFlowBound.tokensPerSecond(need.model(), left);
                assertTrue(bound > 0, need.model().id() + " has no chain without " + lost);
            }
        }
    }

    @Property(tries = 60, seed = "20260701")
    void plannedThroughputIsTheMaximumFlow(
            @ForAll @IntRange(min = 4, max = 60) int count,
            @ForAll @IntRange(min = 1, max = 5) int models) {
        List<EngineView> engines = Fleets.mixed(count, 1);
        List<ModelNeed> needs = needs(models);
        Plan plan = mPlanner.plan(Fleets.input(engines, needs));
        List<EngineView> placed = Fleets.apply(engines, plan);
        for (ModelNeed need : needs) {
            double bound = MaxFlowBound.tokensPerSecond(need.model(), placed);
            double planned = plan.tokensPerSecond().get(need.model().id());
            assertEquals(bound, planned, 1e-6 * Math.max(1, bound));
        }
    }

    @Property(tries = 40, seed = "20260702")
    void weightsFitAndAStablePlanIsRepeated(
            @ForAll @IntRange(min = 6, max = 90) int count,
            @ForAll @IntRange(min = 1, max = 4) int domains,
            @ForAll @IntRange(min = 1, max = 6) int models) {
        List<ModelNeed> needs = needs(models);
        List<EngineView> engines = Fleets.mixed(count, domains);
        for (int round = 0; round < 12; round++) {
            engines = Fleets.apply(engines, mPlanner.plan(Fleets.input(engines, needs)));
        }
        for (EngineView engine : engines) {
            long bytes = engine.holdings().stream().mapToLong(h -> bytes(needs, h)).sum();
            assertTrue(bytes <= engine.memoryBytes() * Draft.WEIGHT_SHARE);
        }
        List<EngineView> again = Fleets.apply(engines, mPlanner.plan(Fleets.input(engines, needs)));
        assertEquals(engines, again);
    }

    private static long bytes(List<ModelNeed> needs, UpstreamSpec.Holding holding) {
        return needs.stream()
                .map(ModelNeed::model)
                .filter(model -> model.id().equals(holding.modelVersion()))
                .mapToLong(model -> model.layerWeightBytes() * holding.layers().size())
                .sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 11})
    void deadEngineIsRepairedWithLessMovementThanFromScratch(int dead) {
        List<ModelNeed> needs = needs(4);
        List<EngineView> engines = Fleets.mixed(60, 3);
        List<EngineView> placed =
                Fleets.apply(engines, mPlanner.plan(Fleets.input(engines, needs)));
        List<EngineView> after =
                IntStream.range(0, placed.size())
                        .mapToObj(i -> i == dead ? Fleets.down(placed.get(i)) : placed.get(i))
                        .toList();
        PlanInput input = Fleets.input(after, needs);
        int moved = Fleets.layersLoaded(after, Fleets.apply(after, mPlanner.plan(input)));
        Plan scratch = new ScratchPlanner(mPlanner).plan(input);
        int scratchMoved = Fleets.layersLoaded(after, Fleets.apply(after, scratch));
        assertTrue(moved <= 4 * 48, "moved " + moved);
        assertTrue(moved < scratchMoved, moved + " against " + scratchMoved);
    }

    @Test
    void rangesGivenByTheManifestStay() {
        ModelVersionSpec model = Fleets.model("planner", 60, Fleets.GIB);
        List<EngineView> engines =
                IntStream.range(0, 6)
                        .mapToObj(
                                i -> {
                                    int from = 20 * (i % 3);
                                    LayerRange range = new LayerRange(from, from + 20);
                                    UpstreamSpec.Holding holding =
                                            new UpstreamSpec.Holding(model.id(), range, List.of());
                                    return Fleets.engine(i, "d0", "r" + i, 48)
                                            .holding(List.of(holding));
                                })
                        .toList();
        Plan plan = mPlanner.plan(Fleets.input(engines, List.of(Fleets.need(model, 100))));
        assertEquals(engines, Fleets.apply(engines, plan));
    }

    @Test
    void holdersOfTheSameLayersStandInDifferentRacks() {
        ModelVersionSpec model = Fleets.model("planner", 8, Fleets.GIB);
        List<EngineView> engines =
                IntStream.range(0, 8)
                        .mapToObj(i -> Fleets.engine(i, "d0", i < 4 ? "r0" : "r1", 24))
                        .toList();
        Plan plan = mPlanner.plan(Fleets.input(engines, List.of(Fleets.need(model, 100))));
        List<EngineView> placed = Fleets.apply(engines, plan);
        for (String rack : Set.of("r0", "r1")) {
            List<EngineView> left = placed.stream().filter(e -> !e.rack().equals(rack)).toList();
            assertTrue(MaxFlowBound.tokensPerSecond(model, left) > 0);
        }
    }
}
