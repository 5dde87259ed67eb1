package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.layers.LayerPathSearch.PathStage;
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
        return findDisjoint(engines, usable, 1).stream().findFirst();
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
        List<UpstreamEntry> holders = holders(engines, usable);
        LayerPathSearch search = new LayerPathSearch(mModel, holders, costs());
        boolean[] taken = new boolean[holders.size()];
        LayerPathSearch.StageFilter filter = new NotTaken(taken);
        List<EngineChain> found = new ArrayList<>();
        while (found.size() < maxChains) {
            Optional<List<PathStage>> path = search.findCheapest(filter);
            if (path.isEmpty()) {
                break;
            }
            path.get().forEach(stage -> taken[stage.engine()] = true);
            EngineChain chain =
                    toChain(mModel, holders, path.get(), capacityTokens(holders, path.get()));
            if (chain.covers(mModel.layers())) {
                found.add(chain);
            }
        }
        return found;
    }

    /**
     * Finds chains that together fit into the KV cache memory of the engines, cheapest first.
     * Engines with memory to spare belong to several chains. The same for daemons of all failure
     * domains, so that their plans add up.
     *
     * @param engines engines of the service
     * @param usable whether an engine may be used
     * @return chains with their share of the memory, empty if there is none
     */
    public List<EngineChain> findPacked(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable) {
        List<UpstreamEntry> holders = holders(engines, usable);
        LayerPathSearch.Costs costs =
                new LayerPathSearch.Costs(mLocalDomain, 0, DOMAIN_CROSSING_MS);
        return new ChainPacking(mModel, holders, costs).pack();
    }

    private LayerPathSearch.Costs costs() {
        return new LayerPathSearch.Costs(mLocalDomain, REMOTE_ENTRY_MS, DOMAIN_CROSSING_MS);
    }

    private List<UpstreamEntry> holders(
            List<UpstreamEntry> engines, Predicate<UpstreamEntry> usable) {
        return engines.stream()
                .filter(e -> e.layers().isPresent() && !e.leaving())
                .filter(e -> e.layers().get().to() <= mModel.layers())
                .filter(usable)
                .toList();
    }

    private double capacityTokens(List<UpstreamEntry> holders, List<PathStage> path) {
        double tokens = Double.MAX_VALUE;
        for (PathStage stage : path) {
            double tokenLayers = mModel.kvTokenLayers(holders.get(stage.engine()));
            tokens = Math.min(tokens, tokenLayers / stage.layers().size());
        }
        return tokens;
    }

    static EngineChain toChain(
            EngineModel model,
            List<UpstreamEntry> holders,
            List<PathStage> path,
            double kvCapacityTokens) {
        List<ChainStage> stages = new ArrayList<>();
        double idleTokenMs = 0;
        for (PathStage stage : path) {
            UpstreamEntry engine = holders.get(stage.engine());
            stages.add(new ChainStage(engine, stage.layers(), model.kvTokenLayers(engine)));
            idleTokenMs += stage.stepMs();
        }
        return new EngineChain(stages, idleTokenMs, kvCapacityTokens);
    }

    /** Allows engines that no chain has taken. */
    @SuppressWarnings("ArrayRecordComponent")
    private record NotTaken(boolean[] taken) implements LayerPathSearch.StageFilter {
        @Override
        public boolean allows(int engine, int layers) {
            return !taken[engine];
        }

        @Override
        public boolean allowsEntry(int engine) {
            return true;
        }
    }
}
