package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Finds the cheapest chain over the engines that hold layers: shortest path over the boundaries of
 * what they hold. Answers the load in which engines come and go while the rest must carry on: any
 * mix of holders that covers the layers is found, and crossings between failure domains, which all
 * traffic shares one pipe for, are taken only where a domain has no whole copy.
 */
public final class ChainFinder {
    /** Added for each part, in ms a token: the hand-over and half a pass of waiting. */
    static final double HOP_MS = 0.4;

    /** Added for each crossing inside a chain, in ms a token: every token's activations cross. */
    private static final double CROSSING_MS = 6;

    /** Added where the first engine stands in another domain, in ms a token: only text crosses. */
    private static final double AWAY_MS = 3;

    private final EngineModel mModel;
    private final String mHomeDomain;

    /** Cheapest way to reach a boundary with a given last engine. */
    private record Reach(double cost, Reach before, UpstreamEntry engine, int from, int to) {}

    /**
     * Creates a finder.
     *
     * @param model figures of the model
     * @param homeDomain failure domain of this daemon
     */
    public ChainFinder(EngineModel model, String homeDomain) {
        mModel = model;
        mHomeDomain = homeDomain;
    }

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines of the service
     * @param usable which of them may be used
     * @return chain, empty if the usable engines don't cover the layers
     */
    public Optional<EngineChain> find(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable) {
        List<UpstreamEntry> holders =
                engines.stream()
                        .filter(e -> e.layers().isPresent() && !e.leaving())
                        .filter(e -> e.layers().get().to() <= mModel.layers())
                        .filter(usable)
                        .toList();
        NavigableSet<Integer> boundaries = boundaries(holders);
        Map<Integer, Map<String, Reach>> reached = new HashMap<>();
        for (int at : boundaries) {
            for (UpstreamEntry engine : holders) {
                LayerRange held = engine.layers().get();
                if (held.from() <= at && at < held.to()) {
                    extend(reached, boundaries, at, engine);
                }
            }
        }
        return reached.getOrDefault(mModel.layers(), Map.of()).values().stream()
                .min((a, b) -> Double.compare(a.cost(), b.cost()))
                .map(this::chain)
                .filter(chain -> chain.covers(mModel.layers()));
    }

    /**
     * Splits the engines into chains that share none, cheapest first.
     *
     * @param engines engines of the service
     * @param usable which of them may be used
     * @param most chains at most
     * @return chains, empty if there is none
     */
    public List<EngineChain> disjoint(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable, int most) {
        List<EngineChain> found = new ArrayList<>();
        while (found.size() < most) {
            Optional<EngineChain> next =
                    find(
                            engines,
                            usable.and(e -> found.stream().noneMatch(c -> c.contains(e.id()))));
            if (next.isEmpty()) {
                break;
            }
            found.add(next.get());
        }
        return found;
    }

    private NavigableSet<Integer> boundaries(List<UpstreamEntry> holders) {
        NavigableSet<Integer> boundaries = new TreeSet<>();
        boundaries.add(0);
        for (UpstreamEntry engine : holders) {
            boundaries.add(engine.layers().get().from());
            boundaries.add(engine.layers().get().to());
        }
        return boundaries;
    }

    private void extend(
            Map<Integer, Map<String, Reach>> reached,
            NavigableSet<Integer> boundaries,
            int at,
            UpstreamEntry engine) {
        Optional<Reach> start = at == 0 ? Optional.of(start(engine)) : best(reached, at, engine);
        if (start.isEmpty()) {
            return;
        }
        for (int to : boundaries.subSet(at + 1, engine.layers().get().to() + 1)) {
            double cost = start.get().cost() + HOP_MS + layersMs(engine, to - at);
            Reach before = at == 0 ? null : start.get();
            Reach reach = new Reach(cost, before, engine, at, to);
            reached.computeIfAbsent(to, key -> new HashMap<>())
                    .merge(engine.id(), reach, (a, b) -> a.cost() <= b.cost() ? a : b);
        }
    }

    private Reach start(UpstreamEntry engine) {
        double cost = engine.domain().equals(mHomeDomain) ? 0 : AWAY_MS;
        return new Reach(cost, null, engine, 0, 0);
    }

    private static Optional<Reach> best(
            Map<Integer, Map<String, Reach>> reached, int at, UpstreamEntry next) {
        Reach best = null;
        for (Reach reach : reached.getOrDefault(at, Map.of()).values()) {
            if (uses(reach, next.id())) {
                continue;
            }
            double cost = reach.cost();
            if (!reach.engine().domain().equals(next.domain())) {
                cost += CROSSING_MS;
            }
            if (best == null || cost < best.cost()) {
                best = new Reach(cost, reach.before(), reach.engine(), reach.from(), reach.to());
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean uses(Reach reach, String id) {
        for (Reach step = reach; step != null; step = step.before()) {
            if (step.engine().id().equals(id)) {
                return true;
            }
        }
        return false;
    }

    private double layersMs(UpstreamEntry engine, int layers) {
        return mModel.stepMs() * card(engine).stepFactor() * layers / mModel.layers();
    }

    private CardKind card(UpstreamEntry engine) {
        return engine.card()
                .map(mModel.cards()::get)
                .orElse(new CardKind(mModel.layerMb() * mModel.layers(), 1, 1));
    }

    private EngineChain chain(Reach end) {
        List<ChainPart> parts = new ArrayList<>();
        double tokenMs = 0;
        double kvTokens = Double.MAX_VALUE;
        for (Reach step = end; step != null; step = step.before()) {
            parts.add(new ChainPart(step.engine(), new LayerRange(step.from(), step.to())));
            tokenMs += layersMs(step.engine(), step.to() - step.from());
            kvTokens = Math.min(kvTokens, kvTokens(step));
        }
        Collections.reverse(parts);
        return new EngineChain(parts, tokenMs, kvTokens);
    }

    private double kvTokens(Reach step) {
        int held = step.engine().layers().get().size();
        double freeMb = card(step.engine()).memoryMb() - held * mModel.layerMb();
        return freeMb / (mModel.kvMbPerLayer(1) * (step.to() - step.from()));
    }
}
