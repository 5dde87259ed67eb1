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
    private final EngineModel mModel = LayerSites.model();
    private final LayerPlanner mPlanner = new LayerPlanner(mModel);

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void eachDomainHoldsEveryLayerBeforeTraffic(String domain) {
        List<HolderState> engines = placed();
        assertEquals(Set.of(), missing(engines, domain));
    }

    @Test
    void noOrderIsOverTheMemoryOfItsCard() {
        SplittableRandom random = new SplittableRandom(11);
        List<HolderState> engines = placed();
        for (int round = 0; round < 200; round++) {
            engines = withoutOne(engines, random);
            List<LayerOrder> orders = mPlanner.plan(engines, domain -> true);
            checkMemory(engines, orders);
            engines = LayerSites.apply(engines, orders);
            if (engines.size() < 20) {
                engines = placed();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void theLayersOfALostEngineAreHeldAgainAfterOnePlan(String domain) {
        List<HolderState> all = placed();
        for (HolderState lost : all) {
            if (lost.domain().equals(domain) && lost.layers().isPresent()) {
                List<HolderState> left = new ArrayList<>(all);
                left.remove(lost);
                left = LayerSites.apply(left, mPlanner.plan(left, d -> true));
                left = LayerSites.apply(left, mPlanner.plan(left, d -> true));
                assertEquals(Set.of(), missing(left, domain), lost.id());
            }
        }
    }

    /** A domain comes back from a cut: its engines register again one after the other. */
    @Test
    void enginesThatHoldLayersAreNotMovedWhileADomainFillsAgain() {
        List<HolderState> all = placed();
        List<HolderState> back = all.stream().filter(e -> !e.domain().equals("a")).toList();
        for (HolderState engine : all) {
            if (engine.domain().equals("a")) {
                back = new ArrayList<>(back);
                back.add(engine);
                assertEquals(List.of(), mPlanner.plan(back, domain -> !domain.equals("a")));
            }
        }
    }

    @Test
    void anEngineWithAnOrderUnderWayGetsNoOther() {
        List<HolderState> engines =
                placed().stream()
                        .map(e -> new HolderState(e.id(), e.domain(), e.card(), e.layers(), false))
                        .filter(e -> !e.id().equals("b-mid-0"))
                        .toList();
        assertEquals(List.of(), mPlanner.plan(engines, domain -> true));
    }

    @Test
    void domainsTooSmallForACopyHoldOneTogether() {
        List<HolderState> engines = new ArrayList<>();
        LayerSites.add(engines, "x", "mid", 3);
        LayerSites.add(engines, "y", "mid", 3);
        engines = LayerSites.apply(engines, mPlanner.plan(engines, domain -> true));
        Set<Integer> held = new HashSet<>();
        engines.forEach(e -> e.layers().ifPresent(r -> addAll(held, r.from(), r.to())));
        assertEquals(mModel.layers(), held.size());
    }

    private List<HolderState> placed() {
        List<HolderState> engines = LayerSites.site();
        return LayerSites.apply(engines, mPlanner.plan(engines, domain -> true));
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

    private Set<Integer> missing(List<HolderState> engines, String domain) {
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
