package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.name.Identity;

/** Spreads the engines that hold the same layers over racks. */
final class RackSpread {
    private final Map<Key, Integer> mHolderCounts = new HashMap<>();

    private record Key(Identity domain, String rack, PlanDraft.PlacedNode node) {}

    RackSpread(List<EngineView> engines, PlanDraft draft) {
        for (EngineView engine : engines) {
            draft.placedNodes(engine).forEach(node -> addHolder(engine, node));
        }
    }

    /** Counts an engine as a holder of a node. */
    void addHolder(EngineView engine, PlanDraft.PlacedNode node) {
        mHolderCounts.merge(key(engine, node), 1, Integer::sum);
    }

    /**
     * Chooses, among the engines equivalent to the first one, the engine whose rack holds the node
     * least often.
     *
     * @param idle engines without holdings, not empty
     * @param node node to place
     * @return chosen engine
     */
    EngineView choose(List<EngineView> idle, PlanDraft.PlacedNode node) {
        EngineView best = idle.get(0);
        int fewest = holderCount(best, node);
        for (EngineView engine : idle) {
            if (!isEquivalent(engine, best)) {
                continue;
            }
            int holders = holderCount(engine, node);
            if (holders < fewest) {
                best = engine;
                fewest = holders;
            }
        }
        return best;
    }

    private int holderCount(EngineView engine, PlanDraft.PlacedNode node) {
        return engine.rack().isEmpty() ? 0 : mHolderCounts.getOrDefault(key(engine, node), 0);
    }

    private static boolean isEquivalent(EngineView first, EngineView second) {
        return first.domain().equals(second.domain())
                && first.memoryBytes() == second.memoryBytes()
                && first.layerTokensPerSecond() == second.layerTokensPerSecond();
    }

    private static Key key(EngineView engine, PlanDraft.PlacedNode node) {
        return new Key(engine.domain(), engine.rack(), node);
    }
}
