package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.name.Identity;

/** Spreads the holders of the same layers over racks. */
final class RackSpread {
    private final Map<Key, Integer> mHolders = new HashMap<>();

    private record Key(Identity domain, String rack, Draft.Placed placed) {}

    RackSpread(List<EngineView> engines, Draft draft) {
        for (EngineView engine : engines) {
            draft.placed(engine).forEach(placed -> note(engine, placed));
        }
    }

    /** Counts an engine as a holder. */
    void note(EngineView engine, Draft.Placed placed) {
        mHolders.merge(key(engine, placed), 1, Integer::sum);
    }

    /**
     * Chooses among engines like the first one that whose rack holds the layers least often.
     *
     * @param idle engines without holdings, not empty
     * @param placed layers to hold
     * @return the engine
     */
    EngineView choose(List<EngineView> idle, Draft.Placed placed) {
        EngineView best = idle.get(0);
        int fewest = holders(best, placed);
        for (EngineView engine : idle) {
            if (!alike(engine, best)) {
                continue;
            }
            int holders = holders(engine, placed);
            if (holders < fewest) {
                best = engine;
                fewest = holders;
            }
        }
        return best;
    }

    private int holders(EngineView engine, Draft.Placed placed) {
        return engine.rack().isEmpty() ? 0 : mHolders.getOrDefault(key(engine, placed), 0);
    }

    private static boolean alike(EngineView one, EngineView other) {
        return one.domain().equals(other.domain())
                && one.memoryBytes() == other.memoryBytes()
                && one.layerTokensPerSecond() == other.layerTokensPerSecond();
    }

    private static Key key(EngineView engine, Draft.Placed placed) {
        return new Key(engine.domain(), engine.rack(), placed);
    }
}
