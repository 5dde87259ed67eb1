package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Plan under construction: the layer tree nodes placed on each engine and the resulting flows. */
final class PlanDraft {
    /**
     * Share of an engine's memory for newly placed weights; the rest is for KV cache and adapters.
     */
    static final double WEIGHT_SHARE = 0.7;

    /** Weight of the ranges of pinned engines when layer trees are cut; other ranges count 1. */
    private static final int PINNED_RANGE_WEIGHT = 1_000;

    private final List<ModelRequirement> mModels;
    private final Set<Identity> mCutOff;
    private final Map<Identity, Integer> mModelIndex = new HashMap<>();
    private final List<LayerTree> mTrees = new ArrayList<>();
    private final List<LayerFlow> mPooledFlows = new ArrayList<>();
    private final List<Map<Identity, LayerFlow>> mDomainFlows = new ArrayList<>();
    private final Map<Identity, List<PlacedNode>> mPlacedNodes = new HashMap<>();

    /**
     * Layer tree node that is placed on an engine.
     *
     * @param model index of the model version in the plan input
     * @param node node of its layer tree
     */
    record PlacedNode(int model, int node) {}

    PlanDraft(PlanInput input) {
        mModels = input.models();
        mCutOff = input.cutOffDomains();
        for (ModelRequirement requirement : mModels) {
            ModelVersionSpec model = requirement.model();
            mModelIndex.put(model.id(), mTrees.size());
            LayerTree tree = new LayerTree(model.layers(), heldRanges(input, model.id()));
            mTrees.add(tree);
            mPooledFlows.add(new LayerFlow(tree));
            mDomainFlows.add(new HashMap<>());
        }
    }

    private static List<LayerRange> heldRanges(PlanInput input, Identity model) {
        List<LayerRange> ranges = new ArrayList<>();
        for (EngineView engine : input.engines()) {
            int weight = input.pinnedEngines().contains(engine.id()) ? PINNED_RANGE_WEIGHT : 1;
            for (UpstreamSpec.Holding holding : engine.holdings()) {
                if (engine.usable() && holding.modelVersion().equals(model)) {
                    ranges.addAll(Collections.nCopies(weight, holding.layers()));
                }
            }
        }
        return ranges;
    }

    /** Returns the tree node with the layers of a holding, if there is one. */
    OptionalInt findNode(UpstreamSpec.Holding holding) {
        Integer model = mModelIndex.get(holding.modelVersion());
        return model == null ? OptionalInt.empty() : mTrees.get(model).findNode(holding.layers());
    }

    /** Returns the index of a model version, if the plan covers it. */
    OptionalInt findModel(Identity modelVersion) {
        Integer model = mModelIndex.get(modelVersion);
        return model == null ? OptionalInt.empty() : OptionalInt.of(model);
    }

    List<ModelRequirement> models() {
        return mModels;
    }

    List<PlacedNode> placedNodes(EngineView engine) {
        return mPlacedNodes.getOrDefault(engine.id(), List.of());
    }

    LayerFlow pooledFlow(int model) {
        return mPooledFlows.get(model);
    }

    LayerFlow domainFlow(int model, Identity domain) {
        return mDomainFlows
                .get(model)
                .computeIfAbsent(domain, d -> new LayerFlow(mTrees.get(model)));
    }

    /** Returns whether a domain that ranks above the given one also holds all layers of a node. */
    boolean isHeldByHigherRankedDomain(PlacedNode node, Identity domain) {
        Identity model = mModels.get(node.model()).model().id();
        long rank = DomainRank.of(model, domain);
        return mDomainFlows.get(node.model()).entrySet().stream()
                .filter(entry -> DomainRank.of(model, entry.getKey()) > rank)
                .filter(entry -> !mCutOff.contains(entry.getKey()))
                .anyMatch(entry -> entry.getValue().covers(node.node()));
    }

    /**
     * Returns the throughput of a model version with chains within domains or with chains across
     * all domains, whichever is higher.
     */
    double throughput(int model) {
        double withinDomains =
                mDomainFlows.get(model).values().stream().mapToDouble(LayerFlow::total).sum();
        return Math.max(withinDomains, pooledFlow(model).total());
    }

    LayerRange range(PlacedNode node) {
        return mTrees.get(node.model()).range(node.node());
    }

    long weightBytes(PlacedNode node) {
        return mModels.get(node.model()).model().layerWeightBytes() * range(node).size();
    }

    /** Places a node on an engine; all nodes placed there share the engine's speed. */
    void add(EngineView engine, PlacedNode node) {
        List<PlacedNode> nodes = new ArrayList<>(placedNodes(engine));
        nodes.add(node);
        setNodes(engine, nodes);
    }

    /** Sets the nodes placed on an engine. */
    void setNodes(EngineView engine, List<PlacedNode> nodes) {
        List<PlacedNode> before = placedNodes(engine);
        double speedBefore = tokensPerSecond(engine, before);
        for (PlacedNode node : before) {
            flows(engine, node).forEach(flow -> flow.remove(node.node(), speedBefore));
        }
        mPlacedNodes.put(engine.id(), List.copyOf(nodes));
        double speedAfter = tokensPerSecond(engine, nodes);
        for (PlacedNode node : nodes) {
            flows(engine, node).forEach(flow -> flow.add(node.node(), speedAfter));
        }
    }

    private List<LayerFlow> flows(EngineView engine, PlacedNode node) {
        LayerFlow domainFlow = domainFlow(node.model(), engine.domain());
        boolean cutOff = mCutOff.contains(engine.domain());
        return cutOff ? List.of(domainFlow) : List.of(domainFlow, pooledFlow(node.model()));
    }

    /** Returns the number of layers of a model version that still fit into an engine's memory. */
    int freeLayers(EngineView engine, int model) {
        long usedBytes = placedNodes(engine).stream().mapToLong(this::weightBytes).sum();
        double freeBytes = engine.memoryBytes() * WEIGHT_SHARE - usedBytes;
        return (int) Math.max(0, freeBytes / mModels.get(model).model().layerWeightBytes());
    }

    private double tokensPerSecond(EngineView engine, List<PlacedNode> nodes) {
        int layers = nodes.stream().mapToInt(node -> range(node).size()).sum();
        return layers == 0 ? 0 : engine.layerTokensPerSecond() / layers;
    }
}
