package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.manifest.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The weight store of the fixture serves three loads at full speed, of 5.7 layers a second each.
 */
class MissingLayerSplitTest {
    private final LayerPlanner mPlanner = new LayerPlanner(LayerFixture.model());

    /** A domain whose other engines hold all layers but some, where empty engines have joined. */
    private static List<EngineLayerState> domain(int missingFrom, int missingTo) {
        List<EngineLayerState> engines = new ArrayList<>();
        LayerFixture.addEngines(engines, "a", "big", 1);
        LayerFixture.addEngines(engines, "a", "small", 3);
        List<EngineLayerState> holders = new ArrayList<>();
        LayerFixture.addEngines(holders, "a", "mid", 2);
        List<LayerRange> held =
                List.of(new LayerRange(0, missingFrom), new LayerRange(missingTo, 80));
        for (int i = 0; i < held.size(); i++) {
            EngineLayerState engine = holders.get(i);
            Optional<LayerRange> layers =
                    held.get(i).size() == 0 ? Optional.empty() : Optional.of(held.get(i));
            engines.add(new EngineLayerState(engine.id(), "a", engine.card(), layers, true));
        }
        return engines;
    }

    @ParameterizedTest
    @CsvSource({"7,39,11", "40,72,11", "20,29,6", "30,32,6"})
    void missingLayersAreLoadedByAsManyEnginesAsTheWeightStoreServes(
            int missingFrom, int missingTo, int maxLayers) {
        int loaded = 0;
        for (LayerOrder order : mPlanner.plan(domain(missingFrom, missingTo), domain -> false)) {
            if (order.purpose() != LoadPurpose.COPY) {
                assertTrue(order.layers().size() <= maxLayers, order.toString());
                loaded += order.layers().size();
            }
        }
        assertTrue(loaded >= missingTo - missingFrom);
    }

    @Test
    void anEngineWithALargeCardIsFilledOnceNothingIsMissing() {
        List<EngineLayerState> engines = domain(7, 39);
        for (int round = 0; round < 3; round++) {
            engines = LayerFixture.applyOrders(engines, mPlanner.plan(engines, domain -> false));
        }
        LayerRange first = engines.get(0).layers().get();
        assertTrue(first.size() > 22, first.toString());
        assertEquals(List.of(), mPlanner.plan(engines, domain -> false));
    }

    /**
     * Layers of a domain stayed missing for the rest of a day while its largest card held seven.
     */
    @ParameterizedTest
    @CsvSource({
        "'a,b,c'",
        "'a,c,f'",
        "'b,c,d'",
        "'a,d,e'",
        "'a,b,f'",
        "'a,b,c,d,f'",
        "'a,e'",
        "'b,e,f'"
    })
    void enginesThatReturnEmptyCoverAllLayersTheyHeld(String lost) {
        List<EngineLayerState> engines = smallDomain();
        List<EngineLayerState> returned =
                engines.stream()
                        .map(e -> lost.contains(e.id()) ? withLayers(e, Optional.empty()) : e)
                        .toList();
        List<LayerOrder> orders = mPlanner.plan(returned, domain -> false);
        int[] holders = mPlanner.countHolders(LayerFixture.applyOrders(returned, orders));
        assertEquals("none", LayerGaps.describe(LayerGaps.find(holders)), orders.toString());
    }

    /** Six engines with little more memory than one copy of the model takes. */
    private static List<EngineLayerState> smallDomain() {
        Map<String, LayerRange> held =
                Map.of(
                        "a", new LayerRange(53, 80),
                        "b", new LayerRange(7, 24),
                        "c", new LayerRange(24, 35),
                        "d", new LayerRange(42, 53),
                        "e", new LayerRange(35, 42),
                        "f", new LayerRange(0, 7));
        List<String> cards = List.of("big", "mid", "small", "small", "tiny", "tiny");
        List<EngineLayerState> engines = new ArrayList<>();
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            CardKind card = LayerFixture.CARDS.get(cards.get(engines.size()));
            engines.add(new EngineLayerState(id, "x", card, Optional.of(held.get(id)), true));
        }
        return engines;
    }

    private static EngineLayerState withLayers(
            EngineLayerState engine, Optional<LayerRange> layers) {
        return new EngineLayerState(engine.id(), engine.domain(), engine.card(), layers, true);
    }
}
