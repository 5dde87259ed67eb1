package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthpick.core.gateway.EngineModel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LayerPlannerTest {
    private final EngineModel mModel = LayerFixture.model();
    private final LayerPlanner mPlanner = new LayerPlanner(mModel);

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void eachDomainHoldsEveryLayerAfterTheFirstPlan(String domain) {
        List<HolderState> engines = enginesWithLayers();
        assertEquals(Set.of(), missingLayers(engines, domain));
    }

    @Test
    void noOrderExceedsTheMemoryOfItsCard() {
        SplittableRandom random = new SplittableRandom(11);
        List<HolderState> engines = enginesWithLayers();
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
        List<HolderState> all = enginesWithLayers();
        for (HolderState lost : all) {
            if (lost.domain().equals(domain) && lost.layers().isPresent()) {
                List<HolderState> left = new ArrayList<>(all);
                left.remove(lost);
                left = LayerFixture.applyOrders(left, mPlanner.plan(left, d -> true));
                left = LayerFixture.applyOrders(left, mPlanner.plan(left, d -> true));
                assertEquals(Set.of(), missingLayers(left, domain), lost.id());
            }
        }
    }

    /** After a partition the engines of a domain register again one by one. */
    @Test
    void enginesWithLayersAreNotReassignedWhileADomainReturns() {
        List<HolderState> all = enginesWithLayers();
        List<HolderState> registered = all.stream().filter(e -> !e.domain().equals("a")).toList();
        for (HolderState engine : all) {
            if (engine.domain().equals("a")) {
                registered = new ArrayList<>(registered);
                registered.add(engine);
                assertEquals(List.of(), mPlanner.plan(registered, domain -> !domain.equals("a")));
            }
        }
    }

    @Test
    void anEngineWithAPendingOrderGetsNoOther() {
        List<HolderState> engines =
                enginesWithLayers().stream()
                        .map(e -> new HolderState(e.id(), e.domain(), e.card(), e.layers(), false))
                        .filter(e -> !e.id().equals("b-mid-0"))
                        .toList();
        assertEquals(List.of(), mPlanner.plan(engines, domain -> true));
    }

    @Test
    void domainsTooSmallForACopyShareOne() {
        List<HolderState> engines = new ArrayList<>();
        LayerFixture.addEngines(engines, "x", "mid", 3);
        LayerFixture.addEngines(engines, "y", "mid", 3);
        engines = LayerFixture.applyOrders(engines, mPlanner.plan(engines, domain -> true));
        Set<Integer> held = new HashSet<>();
        engines.forEach(e -> e.layers().ifPresent(r -> addAll(held, r.from(), r.to())));
        assertEquals(mModel.layers(), held.size());
    }

    private List<HolderState> enginesWithLayers() {
        List<HolderState> engines = LayerFixture.emptyEngines();
        return LayerFixture.applyOrders(engines, mPlanner.plan(engines, domain -> true));
    }

    private static List<HolderState> withoutOne(
            List<HolderState> engines, SplittableRandom random) {
        List<HolderState> left = new ArrayList<>(engines);
        left.remove(random.nextInt(left.size()));
        return left;
    }

    private void checkMemory(List<HolderState> engines, List<LayerOrder> orders) {
        for (LayerOrder order : orders) {
            HolderState engine =
                    engines.stream().filter(e -> e.id().equals(order.engineId())).findFirst().get();
            double weightsMb = order.layers().size() * mModel.layerMb();
            assertTrue(weightsMb <= engine.card().memoryMb(), order.toString());
        }
    }

    private Set<Integer> missingLayers(List<HolderState> engines, String domain) {
        Set<Integer> missing = new HashSet<>();
        addAll(missing, 0, mModel.layers());
        for (HolderState engine : engines) {
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
