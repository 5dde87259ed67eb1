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

/** Plan in the making: which engine holds which nodes, and the flows that follow from it. */
final class Draft {
    /** Share of an engine's memory that new weights may take; the rest is KV cache and adapters. */
    static final double WEIGHT_SHARE = 0.7;

    private static final int PINNED_WEIGHT = 1_000;

    private final List<ModelNeed> mModels;
    private final Set<Identity> mCutOff;
    private final Map<Identity, Integer> mModelIndex = new HashMap<>();
    private final List<LayerTree> mTrees = new ArrayList<>();
    private final List<LayerFlow> mPooled = new ArrayList<>();
    private final List<Map<Identity, LayerFlow>> mLocal = new ArrayList<>();
    private final Map<Identity, List<Placed>> mPlaced = new HashMap<>();

    /**
     * Node of a model's layer tree held by an engine.
     *
     * @param model index of the model
     * @param node node of its tree
     */
    record Placed(int model, int node) {}

    Draft(PlanInput input) {
        mModels = input.models();
        mCutOff = input.cutOff();
        for (ModelNeed need : mModels) {
            ModelVersionSpec model = need.model();
            mModelIndex.put(model.id(), mTrees.size());
            LayerTree tree = new LayerTree(model.layers(), heldRanges(input, model.id()));
            mTrees.add(tree);
            mPooled.add(new LayerFlow(tree));
            mLocal.add(new HashMap<>());
        }
    }

    private static List<LayerRange> heldRanges(PlanInput input, Identity model) {
        List<LayerRange> ranges = new ArrayList<>();
        for (EngineView engine : input.engines()) {
            int weight = input.pinned().contains(engine.id()) ? PINNED_WEIGHT : 1;
            for (UpstreamSpec.Holding holding : engine.holdings()) {
                if (engine.usable() && holding.modelVersion().equals(model)) {
                    ranges.addAll(Collections.nCopies(weight, holding.layers()));
                }
            }
        }
        return ranges;
    }

    /** Finds the node that a holding stands for. */
    OptionalInt node(UpstreamSpec.Holding holding) {
        Integer model = mModelIndex.get(holding.modelVersion());
        return model == null ? OptionalInt.empty() : mTrees.get(model).node(holding.layers());
    }

    /** Finds the index of a model version. */
    OptionalInt model(Identity modelVersion) {
        Integer model = mModelIndex.get(modelVersion);
        return model == null ? OptionalInt.empty() : OptionalInt.of(model);
    }

    List<ModelNeed> models() {
        return mModels;
    }

    List<Placed> placed(EngineView engine) {
        return mPlaced.getOrDefault(engine.id(), List.of());
    }

    LayerFlow pooled(int model) {
        return mPooled.get(model);
    }

    LayerFlow local(int model, Identity domain) {
        return mLocal.get(model).computeIfAbsent(domain, d -> new LayerFlow(mTrees.get(model)));
    }

    /** Tells whether a domain ranked above another holds the same layers as well. */
    boolean heldAbove(Placed placed, Identity domain) {
        Identity model = mModels.get(placed.model()).model().id();
        long rank = DomainRank.of(model, domain);
        return mLocal.get(placed.model()).entrySet().stream()
                .filter(local -> DomainRank.of(model, local.getKey()) > rank)
                .filter(local -> !mCutOff.contains(local.getKey()))
                .anyMatch(local -> local.getValue().covers(placed.node()));
    }

    /** Returns the throughput of a model: whole chains within domains, or else over all of them. */
    double throughput(int model) {
        double local = mLocal.get(model).values().stream().mapToDouble(LayerFlow::total).sum();
        return Math.max(local, pooled(model).total());
    }

    LayerRange range(Placed placed) {
        return mTrees.get(placed.model()).range(placed.node());
    }

    long bytes(Placed placed) {
        return mModels.get(placed.model()).model().layerWeightBytes() * range(placed).size();
    }

    /** Adds a holding; what the engine holds already slows down accordingly. */
    void add(EngineView engine, Placed placed) {
        List<Placed> next = new ArrayList<>(placed(engine));
        next.add(placed);
        replace(engine, next);
    }

    /** Sets what an engine holds. */
    void replace(EngineView engine, List<Placed> next) {
        List<Placed> before = placed(engine);
        double slow = speed(engine, before);
        for (Placed placed : before) {
            flows(engine, placed).forEach(flow -> flow.remove(placed.node(), slow));
        }
        mPlaced.put(engine.id(), List.copyOf(next));
        double speed = speed(engine, next);
        for (Placed placed : next) {
            flows(engine, placed).forEach(flow -> flow.add(placed.node(), speed));
        }
    }

    private List<LayerFlow> flows(EngineView engine, Placed placed) {
        LayerFlow local = local(placed.model(), engine.domain());
        boolean apart = mCutOff.contains(engine.domain());
        return apart ? List.of(local) : List.of(local, pooled(placed.model()));
    }

    /** Returns the layers of a model that still fit into an engine. */
    int freeLayers(EngineView engine, int model) {
        long used = placed(engine).stream().mapToLong(this::bytes).sum();
        double left = engine.memoryBytes() * WEIGHT_SHARE - used;
        return (int) Math.max(0, left / mModels.get(model).model().layerWeightBytes());
    }

    private double speed(EngineView engine, List<Placed> placed) {
        int layers = placed.stream().mapToInt(p -> range(p).size()).sum();
        return layers == 0 ? 0 : engine.layerTokensPerSecond() / layers;
    }
}
