package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LayerPlannerTest {
    private final EngineModel mModel = LayerFixture.model();
    private final LayerPlanner mPlanner = new LayerPlanner(mModel);

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void eachDomainHoldsEveryLayerAfterTheFirstPlan(String domain) {
        List<EngineLayerState> engines = enginesWithLayers();
        assertEquals(Set.of(), missingLayers(engines, domain));
    }

    @Test
    void noOrderExceedsTheMemoryOfItsCard() {
        SplittableRandom random = new SplittableRandom(11);
        List<EngineLayerState> engines = enginesWithLayers();
        for (int round = 0; round < 200; round++) {
            engines = withoutOne(engines, random);
            List<LayerOrder> orders = mPlanner.plan(engines, domain -> true);
            checkMemory(engines, orders);
            engines = LayerFixture.applyOrders(engines, orders);
            if (engines.size() < 20) {
                engines = enginesWithLayers();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void theLayersOfALostEngineAreReplaced(String domain) {
        List<EngineLayerState> all = enginesWithLayers();
        for (EngineLayerState lost : all) {
            if (lost.domain().equals(domain) && lost.layers().isPresent()) {
                List<EngineLayerState> left = new ArrayList<>(all);
                left.remove(lost);
                left = LayerFixture.applyOrders(left, mPlanner.plan(left, d -> true));
                left = LayerFixture.applyOrders(left, mPlanner.plan(left, d -> true));
                assertEquals(Set.of(), missingLayers(left, domain), lost.id());
            }
        }
    }

    /** An entry of another writer made every plan fail while an engine was missing. */
    @ParameterizedTest
    @CsvSource({"60, 140000", "0, 81", "80, 81", "2147483646, 2147483647"})
    void anEngineWithLayersOutOfTheModelIsLeftOut(int from, int to) {
        for (EngineLayerState lost : enginesWithLayers()) {
            List<EngineLayerState> left = new ArrayList<>(enginesWithLayers());
            left.remove(lost);
            List<LayerOrder> expected = mPlanner.plan(left, d -> true);
            Optional<LayerRange> layers = Optional.of(new LayerRange(from, to));
            left.add(
                    0,
                    new EngineLayerState(
                            "odd", lost.domain(), LayerFixture.CARDS.get("big"), layers, true));
            assertEquals(expected, mPlanner.plan(left, d -> true));
        }
    }

    /** After a partition the engines of a domain register again one by one. */
    @Test
    void enginesWithLayersAreNotReassignedWhileADomainReturns() {
        List<EngineLayerState> all = enginesWithLayers();
        List<EngineLayerState> registered =
                all.stream().filter(e -> !e.domain().equals("a")).toList();
        for (EngineLayerState engine : all) {
            if (engine.domain().equals("a")) {
                registered = new ArrayList<>(registered);
                registered.add(engine);
                assertEquals(List.of(), mPlanner.plan(registered, domain -> !domain.equals("a")));
            }
        }
    }

    @Test
    void anEngineWithAPendingOrderGetsNoOther() {
        List<EngineLayerState> engines =
                enginesWithLayers().stream()
                        .map(
                                e ->
                                        new EngineLayerState(
                                                e.id(), e.domain(), e.card(), e.layers(), false))
                        .filter(e -> !e.id().equals("b-mid-0"))
                        .toList();
        assertEquals(List.of(), mPlanner.plan(engines, domain -> true));
    }

    @Test
    void domainsTooSmallForACopyShareOne() {
        List<EngineLayerState> engines = new ArrayList<>();
        LayerFixture.addEngines(engines, "x", "mid", 3);
        LayerFixture.addEngines(engines, "y", "mid", 3);
        engines = LayerFixture.applyOrders(engines, mPlanner.plan(engines, domain -> true));
        Set<Integer> held = new HashSet<>();
        engines.forEach(e -> e.layers().ifPresent(r -> addAll(held, r.from(), r.to())));
        assertEquals(mModel.layers(), held.size());
    }

    private List<EngineLayerState> enginesWithLayers() {
        List<EngineLayerState> engines = LayerFixture.emptyEngines();
        return LayerFixture.applyOrders(engines, mPlanner.plan(engines, domain -> true));
    }

    private static List<EngineLayerState> withoutOne(
            List<EngineLayerState> engines, SplittableRandom random) {
        List<EngineLayerState> left = new ArrayList<>(engines);
        left.remove(random.nextInt(left.size()));
        return left;
    }

    private void checkMemory(List<EngineLayerState> engines, List<LayerOrder> orders) {
        for (LayerOrder order : orders) {
            EngineLayerState engine =
                    engines.stream().filter(e -> e.id().equals(order.engineId())).findFirst().get();
            double weightsMb = order.layers().size() * mModel.layerMb();
            assertTrue(weightsMb <= engine.card().memoryMb(), order.toString());
        }
    }

    private Set<Integer> missingLayers(List<EngineLayerState> engines, String domain) {
        Set<Integer> missing = new HashSet<>();
        addAll(missing, 0, mModel.layers());
        for (EngineLayerState engine : engines) {
            if (engine.domain().equals(domain) && engine.layers().isPresent()) {
                for (int i = engine.layers().get().from(); i < engine.layers().get().to(); i++) {
                    missing.remove(i);
                }
            }
        }
        return missing;
    }

    private static void addAll(Set<Integer> layers, int from, int to) {
        for (int layer = from; layer < to; layer++) {
            layers.add(layer);
        }
    }
}
