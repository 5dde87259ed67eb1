package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Searches for the cheapest contiguous chain by dynamic programming over layer boundaries. A
 * holding may be used in part: it is split at the boundaries of all other holdings. Slower than
 * sampling, so it is used for repair and when sampling finds no chain.
 */
final class ChainSearch {
    private final HopCostModel mCostModel;
    private final int mLayers;

    /** Cheapest partial chain that ends at one boundary in one domain. */
    private record State(long costNs, State previous, Hop hop, Identity domain) {
        boolean uses(Identity upstream) {
            for (State state = this; state != null; state = state.previous) {
                if (state.hop.upstream().equals(upstream)) {
                    return true;
                }
            }
            return false;
        }
    }

    ChainSearch(int layers, HopCostModel costModel) {
        mLayers = layers;
        mCostModel = costModel;
    }

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines that the chain may use
     * @return hops of the chain, empty if no chain covers all layers
     */
    Optional<List<Hop>> cheapest(List<Engine> engines) {
        TreeMap<Integer, Map<Identity, State>> reached = new TreeMap<>();
        List<Integer> boundaries = new ArrayList<>(boundaries(engines));
        for (int from : boundaries) {
            Map<Identity, State> predecessors = reached.get(from);
            if (from >= mLayers || (from > 0 && predecessors == null)) {
                continue;
            }
            for (Engine engine : engines) {
                if (engine.layers().from() <= from && from < engine.layers().to()) {
                    extendWith(engine, from, predecessors, boundaries, reached);
                }
            }
        }
        return cheapestState(reached.get(mLayers)).map(ChainSearch::hops);
    }

    private Set<Integer> boundaries(List<Engine> engines) {
        Set<Integer> boundaries = new TreeSet<>();
        boundaries.add(0);
        boundaries.add(mLayers);
        for (Engine engine : engines) {
            boundaries.add(engine.layers().from());
            boundaries.add(Math.min(mLayers, engine.layers().to()));
        }
        return boundaries;
    }

    private void extendWith(
            Engine engine,
            int from,
            Map<Identity, State> predecessors,
            List<Integer> boundaries,
            Map<Integer, Map<Identity, State>> reached) {
        State predecessor = from == 0 ? null : cheapestPredecessor(engine, predecessors);
        if (from > 0 && predecessor == null) {
            return;
        }
        long startNs = predecessor == null ? 0 : arrivalNs(predecessor, engine);
        for (int to : boundaries) {
            if (to <= from || to > engine.layers().to()) {
                continue;
            }
            CostedHop costed = mCostModel.hopCost(engine, new LayerRange(from, to));
            State next =
                    new State(
                            startNs + costed.costNs(), predecessor, costed.hop(), engine.domain());
            reached.computeIfAbsent(to, key -> new HashMap<>())
                    .merge(engine.domain(), next, ChainSearch::cheaperOf);
        }
    }

    private State cheapestPredecessor(Engine engine, Map<Identity, State> predecessors) {
        State cheapest = null;
        for (State state : predecessors.values()) {
            if (state.uses(engine.id())) {
                continue;
            }
            if (cheapest == null || arrivalNs(state, engine) < arrivalNs(cheapest, engine)) {
                cheapest = state;
            }
        }
        return cheapest;
    }

    private long arrivalNs(State state, Engine engine) {
        return state.costNs() + mCostModel.linkNs(state.domain(), engine.domain());
    }

    private static State cheaperOf(State a, State b) {
        return a.costNs() <= b.costNs() ? a : b;
    }

    private static Optional<State> cheapestState(Map<Identity, State> states) {
        return states == null
                ? Optional.empty()
                : states.values().stream().reduce(ChainSearch::cheaperOf);
    }

    private static List<Hop> hops(State last) {
        List<Hop> hops = new ArrayList<>();
        for (State state = last; state != null; state = state.previous()) {
            hops.add(state.hop());
        }
        Collections.reverse(hops);
        return hops;
    }
}
