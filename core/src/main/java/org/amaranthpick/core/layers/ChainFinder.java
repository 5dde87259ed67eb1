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
 * Finds the cheapest chain over the engines that hold layers, as a shortest path whose nodes are
 * the boundaries of the held layer ranges. Designed for engines that join and fail under load: any
 * combination of engines that covers the layers is found. Links between failure domains are shared
 * by all traffic, so a chain crosses them only where a domain has no complete copy of the model.
 */
public final class ChainFinder {
    /** Cost of each stage in ms per token: the transfer and half a pass of waiting. */
    static final double STAGE_OVERHEAD_MS = 0.4;

    /** Cost of a domain crossing inside a chain in ms per token, as it carries activations. */
    private static final double DOMAIN_CROSSING_MS = 6;

    /** Cost of a first engine in another domain in ms per token, as only text crosses. */
    private static final double REMOTE_ENTRY_MS = 3;

    private final EngineModel mModel;
    private final String mLocalDomain;

    /** Last stage of the cheapest path from layer 0 to a boundary, for a given last engine. */
    private record PathNode(
            double cost, PathNode previous, UpstreamEntry engine, int from, int to) {}

    /**
     * Creates a finder.
     *
     * @param model parameters of the model
     * @param localDomain failure domain of this daemon
     */
    public ChainFinder(EngineModel model, String localDomain) {
        mModel = model;
        mLocalDomain = localDomain;
    }

    /**
     * Finds the cheapest chain.
     *
     * @param engines engines of the service
     * @param usable whether an engine may be used
     * @return chain, empty if the usable engines don't cover all layers
     */
    public Optional<EngineChain> findCheapest(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable) {
        List<UpstreamEntry> holders =
                engines.stream()
                        .filter(e -> e.layers().isPresent() && !e.leaving())
                        .filter(e -> e.layers().get().to() <= mModel.layers())
                        .filter(usable)
                        .toList();
        NavigableSet<Integer> boundaries = boundaries(holders);
        Map<Integer, Map<String, PathNode>> pathsTo = new HashMap<>();
        for (int boundary : boundaries) {
            for (UpstreamEntry engine : holders) {
                LayerRange held = engine.layers().get();
                if (held.from() <= boundary && boundary < held.to()) {
                    extendPaths(pathsTo, boundaries, boundary, engine);
                }
            }
        }
        return pathsTo.getOrDefault(mModel.layers(), Map.of()).values().stream()
                .min((a, b) -> Double.compare(a.cost(), b.cost()))
                .map(this::toChain)
                .filter(chain -> chain.covers(mModel.layers()));
    }

    /**
     * Finds chains that have no engine in common, cheapest first.
     *
     * @param engines engines of the service
     * @param usable whether an engine may be used
     * @param maxChains maximum number of chains
     * @return chains, empty if there is none
     */
    public List<EngineChain> findDisjoint(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable, int maxChains) {
        List<EngineChain> found = new ArrayList<>();
        while (found.size() < maxChains) {
            Optional<EngineChain> next =
                    findCheapest(
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

    private void extendPaths(
            Map<Integer, Map<String, PathNode>> pathsTo,
            NavigableSet<Integer> boundaries,
            int from,
            UpstreamEntry engine) {
        Optional<PathNode> predecessor =
                from == 0
                        ? Optional.of(startNode(engine))
                        : cheapestPredecessor(pathsTo, from, engine);
        if (predecessor.isEmpty()) {
            return;
        }
        for (int to : boundaries.subSet(from + 1, engine.layers().get().to() + 1)) {
            double cost =
                    predecessor.get().cost() + STAGE_OVERHEAD_MS + computeMs(engine, to - from);
            PathNode previous = from == 0 ? null : predecessor.get();
            PathNode node = new PathNode(cost, previous, engine, from, to);
            pathsTo.computeIfAbsent(to, key -> new HashMap<>())
                    .merge(engine.id(), node, (a, b) -> a.cost() <= b.cost() ? a : b);
        }
    }

    private PathNode startNode(UpstreamEntry engine) {
        double cost = engine.domain().equals(mLocalDomain) ? 0 : REMOTE_ENTRY_MS;
        return new PathNode(cost, null, engine, 0, 0);
    }

    private static Optional<PathNode> cheapestPredecessor(
            Map<Integer, Map<String, PathNode>> pathsTo, int boundary, UpstreamEntry next) {
        PathNode best = null;
        for (PathNode node : pathsTo.getOrDefault(boundary, Map.of()).values()) {
            if (pathContains(node, next.id())) {
                continue;
            }
            double cost = node.cost();
            if (!node.engine().domain().equals(next.domain())) {
                cost += DOMAIN_CROSSING_MS;
            }
            if (best == null || cost < best.cost()) {
                best = new PathNode(cost, node.previous(), node.engine(), node.from(), node.to());
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean pathContains(PathNode last, String id) {
        for (PathNode node = last; node != null; node = node.previous()) {
            if (node.engine().id().equals(id)) {
                return true;
            }
        }
        return false;
    }

    private double computeMs(UpstreamEntry engine, int layers) {
        return mModel.stepMs() * card(engine).stepFactor() * layers / mModel.layers();
    }

    private CardKind card(UpstreamEntry engine) {
        return engine.card()
                .map(mModel.cards()::get)
                .orElse(new CardKind(mModel.layerMb() * mModel.layers(), 1, 1));
    }

    private EngineChain toChain(PathNode last) {
        List<ChainStage> stages = new ArrayList<>();
        double idleTokenMs = 0;
        double kvCapacityTokens = Double.MAX_VALUE;
        for (PathNode node = last; node != null; node = node.previous()) {
            stages.add(new ChainStage(node.engine(), new LayerRange(node.from(), node.to())));
            idleTokenMs += computeMs(node.engine(), node.to() - node.from());
            kvCapacityTokens = Math.min(kvCapacityTokens, kvCapacityTokens(node));
        }
        Collections.reverse(stages);
        return new EngineChain(stages, idleTokenMs, kvCapacityTokens);
    }

    private double kvCapacityTokens(PathNode node) {
        int heldLayers = node.engine().layers().get().size();
        double freeMb = card(node.engine()).memoryMb() - heldLayers * mModel.layerMb();
        return freeMb / (mModel.kvMbPerLayer(1) * (node.to() - node.from()));
    }
}
