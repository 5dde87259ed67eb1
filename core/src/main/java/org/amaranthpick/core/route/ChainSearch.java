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
 * Searches the cheapest contiguous chain by dynamic programming over layer boundaries. Holdings are
 * split at each other's boundaries. Slower than sampling; used for repair and when sampling fails.
 */
final class ChainSearch {
    private final HopPricer mPricer;
    private final int mLayers;

    /** Cheapest way to reach one boundary in one domain. */
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

    ChainSearch(int layers, HopPricer pricer) {
        mLayers = layers;
        mPricer = pricer;
    }

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines that may be used
     * @return hops of the chain, empty if some layer is held by none
     */
    Optional<List<Hop>> cheapest(List<Engine> engines) {
        TreeMap<Integer, Map<Identity, State>> reached = new TreeMap<>();
        List<Integer> boundaries = new ArrayList<>(boundaries(engines));
        for (int from : boundaries) {
            Map<Identity, State> before = reached.get(from);
            if (from >= mLayers || (from > 0 && before == null)) {
                continue;
            }
            for (Engine engine : engines) {
                if (engine.layers().from() <= from && from < engine.layers().to()) {
                    extend(engine, from, before, boundaries, reached);
                }
            }
        }
        return best(reached.get(mLayers)).map(ChainSearch::hops);
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

    private void extend(
            Engine engine,
            int from,
            Map<Identity, State> before,
            List<Integer> boundaries,
            Map<Integer, Map<Identity, State>> reached) {
        State start = from == 0 ? null : nearest(engine, before);
        if (from > 0 && start == null) {
            return;
        }
        long startNs = start == null ? 0 : arrivalNs(start, engine);
        for (int to : boundaries) {
            if (to <= from || to > engine.layers().to()) {
                continue;
            }
            PricedHop priced = mPricer.price(engine, new LayerRange(from, to));
            State next = new State(startNs + priced.costNs(), start, priced.hop(), engine.domain());
            reached.computeIfAbsent(to, key -> new HashMap<>())
                    .merge(engine.domain(), next, ChainSearch::cheaper);
        }
    }

    private State nearest(Engine engine, Map<Identity, State> before) {
        State nearest = null;
        for (State state : before.values()) {
            if (state.uses(engine.id())) {
                continue;
            }
            if (nearest == null || arrivalNs(state, engine) < arrivalNs(nearest, engine)) {
                nearest = state;
            }
        }
        return nearest;
    }

    private long arrivalNs(State state, Engine engine) {
        return state.costNs() + mPricer.linkNs(state.domain(), engine.domain());
    }

    private static State cheaper(State a, State b) {
        return a.costNs() <= b.costNs() ? a : b;
    }

    private static Optional<State> best(Map<Identity, State> states) {
        return states == null
                ? Optional.empty()
                : states.values().stream().reduce(ChainSearch::cheaper);
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
