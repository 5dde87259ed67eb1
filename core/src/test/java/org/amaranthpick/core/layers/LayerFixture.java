package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/** Engines with mixed cards, in the proportions of the users' sites. */
final class LayerFixture {
    static final Map<String, CardKind> CARDS =
            Map.of(
                    "big", new CardKind(72_000, 1.4, 1),
                    "mid", new CardKind(36_000, 3.1, 3.2),
                    "small", new CardKind(21_600, 16, 8.2),
                    "tiny", new CardKind(14_400, 15, 15));

    private LayerFixture() {}

    static EngineModel model() {
        return new EngineModel(
                80,
                1750,
                845_373,
                134,
                0.85,
                0.0055,
                0.0073,
                196_000,
                772,
                174,
                14,
                OptionalInt.of(3),
                42_268,
                11_000,
                2,
                CARDS);
    }

    /** Engines of three domains, each with memory for one to three copies of the model. */
    static List<EngineLayerState> emptyEngines() {
        List<EngineLayerState> engines = new ArrayList<>();
        addEngines(engines, "a", "big", 1);
        addEngines(engines, "a", "mid", 1);
        addEngines(engines, "a", "small", 5);
        addEngines(engines, "a", "tiny", 7);
        addEngines(engines, "b", "mid", 1);
        addEngines(engines, "b", "small", 8);
        addEngines(engines, "b", "tiny", 3);
        addEngines(engines, "c", "mid", 2);
        addEngines(engines, "c", "small", 4);
        addEngines(engines, "c", "tiny", 7);
        return engines;
    }

    static void addEngines(List<EngineLayerState> engines, String domain, String card, int count) {
        for (int i = 0; i < count; i++) {
            String id = domain + "-" + card + "-" + i;
            engines.add(new EngineLayerState(id, domain, CARDS.get(card), Optional.empty(), true));
        }
    }

    /** Returns the engines after they executed the orders. */
    static List<EngineLayerState> applyOrders(
            List<EngineLayerState> engines, List<LayerOrder> orders) {
        Map<String, LayerRange> ordered = new HashMap<>();
        orders.forEach(order -> ordered.put(order.engineId(), order.layers()));
        return engines.stream()
                .map(
                        e ->
                                new EngineLayerState(
                                        e.id(),
                                        e.domain(),
                                        e.card(),
                                        Optional.ofNullable(ordered.get(e.id())).or(e::layers),
                                        true))
                .toList();
    }

    /** Returns the register entries of engines. */
    static List<UpstreamEntry> toEntries(List<EngineLayerState> engines) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (EngineLayerState engine : engines) {
            entries.add(
                    new UpstreamEntry(
                            engine.id(),
                            "llm",
                            "10.0.0." + entries.size() + ":80",
                            engine.domain(),
                            false,
                            134,
                            Optional.of(engine.id().split("-", -1)[1]),
                            engine.layers(),
                            1,
                            0));
        }
        return entries;
    }

    /** Creates a chain of one engine with all eight layers and 10 ms per token. */
    static EngineChain singleEngineChain(String id, String domain, double kvCapacityTokens) {
        LayerRange all = new LayerRange(0, 8);
        UpstreamEntry engine =
                new UpstreamEntry(
                        id,
                        "llm",
                        "10.0.0.1:80",
                        domain,
                        false,
                        10,
                        Optional.empty(),
                        Optional.of(all),
                        1,
                        0);
        return new EngineChain(
                List.of(new ChainStage(engine, all, 8 * kvCapacityTokens)), 10, kvCapacityTokens);
    }

    /** Creates a chain of two engines with four layers each and 10 ms per token. */
    static EngineChain twoStageChain(String first, String second, double kvCapacityTokens) {
        List<ChainStage> stages = new ArrayList<>();
        for (String id : List.of(first, second)) {
            LayerRange layers = id.equals(first) ? new LayerRange(0, 4) : new LayerRange(4, 8);
            UpstreamEntry engine =
                    new UpstreamEntry(
                            id,
                            "llm",
                            "10.0.0.1:80",
                            "home",
                            false,
                            10,
                            Optional.empty(),
                            Optional.of(layers),
                            1,
                            0);
            stages.add(new ChainStage(engine, layers, 4 * kvCapacityTokens));
        }
        return new EngineChain(stages, 10, kvCapacityTokens);
    }
}
