package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.layers.LayerPathSearch.PathStage;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Packs chains into the KV cache memory of the engines, cheapest first: a chain takes from each of
 * its engines the memory for as many tokens as its tightest engine has left. Engines with memory to
 * spare belong to several chains. Each failure domain is packed by itself, then what is left of all
 * together. Designed for the loss of some engines while the others are full: with disjoint chains
 * each lost engine idles the rest of its chain, and the layer with the fewest holders bounds the
 * number of chains, however much memory those holders have. Chains that cross failure domains
 * together stay within the bandwidth between them; the only chain may be small for that reason,
 * since a fast one fills the bandwidth with few requests.
 */
final class ChainPacking {
    /** Least capacity of a chain, in usual requests. */
    private static final double MIN_CHAIN_REQUESTS = 6;

    /** Part of the bandwidth between failure domains that chains may plan with. */
    private static final double PLANNED_PIPE_FRACTION = 0.7;

    /** Ratio of the token latency of a loaded chain to that of an idle one. */
    private static final double LOADED_LATENCY_FACTOR = 1.5;

    private static final double MS_PER_S = 1000;
    private static final double MBIT_PER_BYTE = 8e-6;

    private final EngineModel mModel;
    private final List<UpstreamEntry> mEngines;
    private final LayerPathSearch.Costs mCosts;
    private final double mUsualTokens;
    private final double mMinTokens;

    /** Memory that no chain has taken yet, as tokens times layers, by engine. */
    private final double[] mFreeTokenLayers;

    /** Tokens of requests that an engine may still take as the first of a chain. */
    private final double[] mFreeEntryTokens;

    private double mFreePipeMbps;

    ChainPacking(EngineModel model, List<UpstreamEntry> holders, LayerPathSearch.Costs costs) {
        mModel = model;
        mEngines = holders;
        mCosts = costs;
        double usualTokens = Math.max(1, model.usualPromptTokens() + model.usualAnswerTokens());
        mUsualTokens = usualTokens;
        mMinTokens = MIN_CHAIN_REQUESTS * usualTokens;
        mFreeTokenLayers = new double[holders.size()];
        mFreeEntryTokens = new double[holders.size()];
        for (int i = 0; i < holders.size(); i++) {
            mFreeTokenLayers[i] = model.kvTokenLayers(holders.get(i));
            mFreeEntryTokens[i] = Math.max(1, model.slots()) * usualTokens;
        }
        mFreePipeMbps = PLANNED_PIPE_FRACTION * model.pipeMbps();
    }

    /**
     * Packs chains until no further one fits.
     *
     * @return chains with the tokens that they may hold at once, cheapest first
     */
    List<EngineChain> pack() {
        Map<String, List<Integer>> byDomain = new TreeMap<>();
        for (int i = 0; i < mEngines.size(); i++) {
            byDomain.computeIfAbsent(mEngines.get(i).domain(), d -> new ArrayList<>()).add(i);
        }
        List<EngineChain> chains = new ArrayList<>();
        byDomain.values().forEach(domain -> packGroup(domain, chains));
        if (byDomain.size() > 1) {
            List<Integer> left = new ArrayList<>();
            for (int i = 0; i < mEngines.size(); i++) {
                if (mFreeTokenLayers[i] >= mMinTokens) {
                    left.add(i);
                }
            }
            packGroup(left, chains);
        }
        chains.sort(Comparator.comparingDouble(EngineChain::idleTokenMs));
        return chains;
    }

    private void packGroup(List<Integer> group, List<EngineChain> chains) {
        LayerPathSearch search =
                new LayerPathSearch(mModel, group.stream().map(mEngines::get).toList(), mCosts);
        LayerPathSearch.StageFilter filter =
                new LayerPathSearch.StageFilter() {
                    @Override
                    public boolean allows(int engine, int layers) {
                        return mFreeTokenLayers[group.get(engine)] >= mMinTokens * layers;
                    }

                    @Override
                    public boolean allowsEntry(int engine) {
                        return mFreeEntryTokens[group.get(engine)] >= mMinTokens;
                    }
                };
        while (true) {
            Optional<List<PathStage>> found = search.findCheapest(filter);
            if (found.isEmpty()) {
                return;
            }
            List<PathStage> path =
                    found.get().stream()
                            .map(s -> new PathStage(group.get(s.engine()), s.layers(), s.stepMs()))
                            .toList();
            double perTokenMbps = pipeMbpsPerToken(path);
            double tokens = capacityTokens(path);
            if (perTokenMbps > 0) {
                tokens = Math.min(tokens, mFreePipeMbps / perTokenMbps);
            }
            if (tokens < (chains.isEmpty() ? mUsualTokens : mMinTokens)) {
                return;
            }
            take(path, tokens, perTokenMbps);
            EngineChain chain = ChainFinder.toChain(mModel, mEngines, path, tokens);
            if (chain.covers(mModel.layers())) {
                chains.add(chain);
            }
        }
    }

    private double capacityTokens(List<PathStage> path) {
        double tokens = mFreeEntryTokens[path.get(0).engine()];
        for (PathStage stage : path) {
            tokens = Math.min(tokens, mFreeTokenLayers[stage.engine()] / stage.layers().size());
        }
        return tokens;
    }

    private void take(List<PathStage> path, double tokens, double perTokenMbps) {
        mFreeEntryTokens[path.get(0).engine()] -= tokens;
        for (PathStage stage : path) {
            mFreeTokenLayers[stage.engine()] -= tokens * stage.layers().size();
        }
        mFreePipeMbps -= tokens * perTokenMbps;
    }

    /**
     * Returns the bandwidth between failure domains for each token that a full chain holds: every
     * token of a request crosses once while the request lasts.
     */
    private double pipeMbpsPerToken(List<PathStage> path) {
        int crossings = 0;
        double stepMs = 0;
        String previous = mEngines.get(path.get(0).engine()).domain();
        for (PathStage stage : path) {
            String domain = mEngines.get(stage.engine()).domain();
            crossings += domain.equals(previous) ? 0 : 1;
            previous = domain;
            stepMs += stage.stepMs() + ChainFinder.STAGE_OVERHEAD_MS;
        }
        double seconds =
                Math.max(1, mModel.usualAnswerTokens()) * stepMs * LOADED_LATENCY_FACTOR / MS_PER_S;
        return crossings * mModel.activationBytes() * MBIT_PER_BYTE / seconds;
    }
}
