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

    private static List<ModelRequirement> requirements(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                TestFleets.model(
                                        "m" + i, 32 + 16 * (i % 3), TestFleets.GIB * (1 + i % 2)))
                .map(model -> TestFleets.requirement(model, 500))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"40, 3, 2", "40, 3, 4", "250, 3, 12", "500, 10, 12"})
    void everyModelKeepsAChainAfterTheLossOfAnyDomain(int count, int domains, int models) {
        List<EngineView> engines = TestFleets.mixed(count, domains);
        List<ModelRequirement> requirements = requirements(models);
        List<EngineView> placed =
                TestFleets.apply(engines, mPlanner.plan(TestFleets.input(engines, requirements)));
        for (Identity lost : TestFleets.domains(engines)) {
            List<EngineView> remaining =
                    placed.stream().filter(e -> !e.domain().equals(lost)).toList();
            for (ModelRequirement requirement : requirements) {
                double bound = MaxFlowBound.tokensPerSecond(requirement.model(), remaining);
                assertTrue(bound > 0, requirement.model().id() + " has no chain without " + lost);
            }
        }
    }

    @Property(tries = 60, seed = "20260701")
    void plannedThroughputEqualsTheMaximumFlow(
            @ForAll @IntRange(min = 4, max = 60) int count,
            @ForAll @IntRange(min = 1, max = 5) int models) {
        List<EngineView> engines = TestFleets.mixed(count, 1);
        List<ModelRequirement> requirements = requirements(models);
        Plan plan = mPlanner.plan(TestFleets.input(engines, requirements));
        List<EngineView> placed = TestFleets.apply(engines, plan);
        for (ModelRequirement requirement : requirements) {
            double bound = MaxFlowBound.tokensPerSecond(requirement.model(), placed);
            double planned = plan.tokensPerSecond().get(requirement.model().id());
            assertEquals(bound, planned, 1e-6 * Math.max(1, bound));
        }
    }

    @Property(tries = 40, seed = "20260702")
    void weightsFitAndRepeatedPlanningConverges(
            @ForAll @IntRange(min = 6, max = 90) int count,
            @ForAll @IntRange(min = 1, max = 4) int domains,
            @ForAll @IntRange(min = 1, max = 6) int models) {
        List<ModelRequirement> requirements = requirements(models);
        List<EngineView> engines = TestFleets.mixed(count, domains);
        for (int round = 0; round < 12; round++) {
            engines =
                    TestFleets.apply(
                            engines, mPlanner.plan(TestFleets.input(engines, requirements)));
        }
        for (EngineView engine : engines) {
            long bytes = engine.holdings().stream().mapToLong(h -> bytes(requirements, h)).sum();
            assertTrue(bytes <= engine.memoryBytes() * PlanDraft.WEIGHT_SHARE);
        }
        List<EngineView> replanned =
                TestFleets.apply(engines, mPlanner.plan(TestFleets.input(engines, requirements)));
        assertEquals(engines, replanned);
    }

    private static long bytes(List<ModelRequirement> requirements, UpstreamSpec.Holding holding) {
        return requirements.stream()
                .map(ModelRequirement::model)
                .filter(model -> model.id().equals(holding.modelVersion()))
                .mapToLong(model -> model.layerWeightBytes() * holding.layers().size())
                .sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 11})
    void lostEngineIsReplacedWithLessLoadingThanFromScratch(int dead) {
        List<ModelRequirement> requirements = requirements(4);
        List<EngineView> engines = TestFleets.mixed(60, 3);
        List<EngineView> placed =
                TestFleets.apply(engines, mPlanner.plan(TestFleets.input(engines, requirements)));
        List<EngineView> after =
                IntStream.range(0, placed.size())
                        .mapToObj(
                                i -> i == dead ? TestFleets.unusable(placed.get(i)) : placed.get(i))
                        .toList();
        PlanInput input = TestFleets.input(after, requirements);
        int moved = TestFleets.layersLoaded(after, TestFleets.apply(after, mPlanner.plan(input)));
        Plan scratch = new FromScratchPlanner(mPlanner).plan(input);
        int scratchMoved = TestFleets.layersLoaded(after, TestFleets.apply(after, scratch));
        assertTrue(moved <= 4 * 48, "moved " + moved);
        assertTrue(moved < scratchMoved, moved + " against " + scratchMoved);
    }

    @Test
    void initialRangesOfTheManifestAreRetained() {
        ModelVersionSpec model = TestFleets.model("planner", 60, TestFleets.GIB);
        List<EngineView> engines =
                IntStream.range(0, 6)
                        .mapToObj(
                                i -> {
                                    int from = 20 * (i % 3);
                                    LayerRange range = new LayerRange(from, from + 20);
                                    UpstreamSpec.Holding holding =
                                            new UpstreamSpec.Holding(model.id(), range, List.of());
                                    return TestFleets.engine(i, "d0", "r" + i, 48)
                                            .withHoldings(List.of(holding));
                                })
                        .toList();
        Plan plan =
                mPlanner.plan(
                        TestFleets.input(engines, List.of(TestFleets.requirement(model, 100))));
        assertEquals(engines, TestFleets.apply(engines, plan));
    }

    @Test
    void holdersOfTheSameLayersAreSpreadOverRacks() {
        ModelVersionSpec model = TestFleets.model("planner", 8, TestFleets.GIB);
        List<EngineView> engines =
                IntStream.range(0, 8)
                        .mapToObj(i -> TestFleets.engine(i, "d0", i < 4 ? "r0" : "r1", 24))
                        .toList();
        Plan plan =
                mPlanner.plan(
                        TestFleets.input(engines, List.of(TestFleets.requirement(model, 100))));
        List<EngineView> placed = TestFleets.apply(engines, plan);
        for (String rack : Set.of("r0", "r1")) {
            List<EngineView> remaining =
                    placed.stream().filter(e -> !e.rack().equals(rack)).toList();
            assertTrue(MaxFlowBound.tokensPerSecond(model, remaining) > 0);
        }
    }
}
