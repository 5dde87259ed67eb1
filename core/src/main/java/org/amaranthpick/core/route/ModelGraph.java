package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleBiFunction;
import java.util.function.ToDoubleFunction;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Capacity graph of one model version. Engines are grouped into classes of equal domain and layers.
 * Each class is split at every layer boundary, so that a part of a holding can be used. Every
 * domain has an "in" and an "out" vertex per boundary, which connect its classes; links between
 * domains are edges from "out" to "in" vertices. Edges between domains open in later phases than
 * those within a domain.
 */
final class ModelGraph {
    private static final int LOCAL_PHASE = 0;
    private static final int REGION_PHASE = 1;
    private static final int REMOTE_PHASE = 2;
    private static final int PHASES = 3;
    private static final int MAX_ROUNDS = 4;
    private static final double OVERLOAD_TOLERANCE = 1e-3;
    private static final long REMOTE_LATENCY_NS = 5_000_000;

    private final ModelVersionSpec mModel;
    private final LinkCosts mLinks;
    private final ToDoubleBiFunction<Identity, Identity> mLinkShare;
    private final List<EngineClass> mClasses;
    private final List<Integer> mBoundaries;
    private final List<Identity> mDomains;
    private final FlowNetwork mNetwork = new FlowNetwork();
    private final Map<Identity, FlowNetwork.Edge> mSourceEdges = new TreeMap<>();
    private final Map<ClassBoundary, FlowNetwork.Edge> mEntryEdges = new LinkedHashMap<>();
    private final Map<ClassBoundary, FlowNetwork.Edge> mExitEdges = new LinkedHashMap<>();
    private final Map<ClassBoundary, FlowNetwork.Edge> mContinuationEdges = new LinkedHashMap<>();
    private final Map<ClassBoundary, FlowNetwork.Edge> mRunEdges = new LinkedHashMap<>();
    private final Map<DomainTransition, FlowNetwork.Edge> mTransitionEdges = new LinkedHashMap<>();

    /** Layer boundary of an engine class. */
    record ClassBoundary(EngineClass engineClass, int boundary) {}

    /** Transition between two domains, possibly the same one, at a boundary. */
    record DomainTransition(Identity from, Identity to, int boundary) {}

    /** Layer boundary of a domain, where its classes are connected. */
    private record DomainBoundary(Identity domain, int boundary) {}

    /**
     * Builds the graph.
     *
     * @param model model version
     * @param engines engines that accept work
     * @param links links of the configuration
     * @param capacity capacity of an engine, in tokens times layers per second
     * @param linkShare usable share of a link's bandwidth, 0 to 1; below 1 if the link is degraded
     */
    ModelGraph(
            ModelVersionSpec model,
            List<Engine> engines,
            LinkCosts links,
            ToDoubleFunction<Engine> capacity,
            ToDoubleBiFunction<Identity, Identity> linkShare) {
        mModel = model;
        mLinks = links;
        mLinkShare = linkShare;
        mClasses = classes(engines, capacity);
        mBoundaries = List.copyOf(boundaries(model, mClasses));
        mDomains = mClasses.stream().map(EngineClass::domain).distinct().sorted().toList();
        build();
    }

    /**
     * Computes the maximum flow.
     *
     * @return plan to sample chains from
     */
    FlowPlan solve() {
        double bound = mNetwork.solve(PHASES);
        double reached = bound;
        for (int round = 1; round < MAX_ROUNDS && reduceOverloadedCapacities(); round++) {
            reached = mNetwork.solve(PHASES);
        }
        double overload = Math.max(1, largestOverload());
        return new FlowPlan(this, bound, reached / overload);
    }

    ModelVersionSpec model() {
        return mModel;
    }

    List<EngineClass> classes() {
        return mClasses;
    }

    Map<Identity, FlowNetwork.Edge> sourceEdges() {
        return mSourceEdges;
    }

    Map<ClassBoundary, FlowNetwork.Edge> entryEdges() {
        return mEntryEdges;
    }

    Map<ClassBoundary, FlowNetwork.Edge> exitEdges() {
        return mExitEdges;
    }

    Map<ClassBoundary, FlowNetwork.Edge> continuationEdges() {
        return mContinuationEdges;
    }

    Map<DomainTransition, FlowNetwork.Edge> transitionEdges() {
        return mTransitionEdges;
    }

    /** Returns the boundary that follows a given one. */
    int nextBoundary(int boundary) {
        return mBoundaries.get(mBoundaries.indexOf(boundary) + 1);
    }

    private static List<EngineClass> classes(
            List<Engine> engines, ToDoubleFunction<Engine> capacity) {
        Map<Identity, Map<LayerRange, List<Engine>>> byDomain = new TreeMap<>();
        for (Engine engine : engines) {
            byDomain.computeIfAbsent(engine.domain(), key -> new TreeMap<>())
                    .computeIfAbsent(engine.layers(), key -> new ArrayList<>())
                    .add(engine);
        }
        List<EngineClass> classes = new ArrayList<>();
        byDomain.forEach(
                (domain, byLayers) ->
                        byLayers.forEach(
                                (layers, members) ->
                                        classes.add(
                                                new EngineClass(
                                                        domain, layers, members, capacity))));
        classes.removeIf(engineClass -> engineClass.members().isEmpty());
        return classes;
    }

    private static Set<Integer> boundaries(ModelVersionSpec model, List<EngineClass> classes) {
        Set<Integer> boundaries = new TreeSet<>();
        boundaries.add(0);
        boundaries.add(model.layers());
        for (EngineClass engineClass : classes) {
            boundaries.add(engineClass.layers().from());
            boundaries.add(Math.min(model.layers(), engineClass.layers().to()));
        }
        return boundaries;
    }

    private void build() {
        Map<DomainBoundary, Integer> inVertices = new LinkedHashMap<>();
        Map<DomainBoundary, Integer> outVertices = new LinkedHashMap<>();
        for (Identity domain : mDomains) {
            for (int boundary : mBoundaries) {
                inVertices.put(new DomainBoundary(domain, boundary), mNetwork.newVertex());
                outVertices.put(new DomainBoundary(domain, boundary), mNetwork.newVertex());
            }
            int first = inVertices.get(new DomainBoundary(domain, 0));
            int last = outVertices.get(new DomainBoundary(domain, mModel.layers()));
            mSourceEdges.put(
                    domain,
                    mNetwork.addEdge(
                            mNetwork.source(), first, Double.POSITIVE_INFINITY, LOCAL_PHASE));
            mNetwork.addEdge(last, mNetwork.sink(), Double.POSITIVE_INFINITY, LOCAL_PHASE);
        }
        mClasses.forEach(engineClass -> addClass(engineClass, inVertices, outVertices));
        for (int boundary : mBoundaries) {
            addTransitions(boundary, inVertices, outVertices);
        }
    }

    private void addClass(
            EngineClass engineClass,
            Map<DomainBoundary, Integer> inVertices,
            Map<DomainBoundary, Integer> outVertices) {
        NavigableSet<Integer> boundaries = new TreeSet<>(mBoundaries);
        LayerRange layers = engineClass.layers();
        int end = Math.min(layers.to(), mModel.layers());
        boundaries = boundaries.subSet(layers.from(), true, end, true);
        double linkCapacity =
                engineClass.members().items().size()
                        * tokensPerSecond(engineClass.domain(), engineClass.domain());
        int previousStart = -1;
        for (int boundary : boundaries) {
            int start = mNetwork.newVertex();
            ClassBoundary classBoundary = new ClassBoundary(engineClass, boundary);
            DomainBoundary domainBoundary = new DomainBoundary(engineClass.domain(), boundary);
            if (previousStart >= 0) {
                int run = mNetwork.newVertex();
                int size = boundary - boundaries.lower(boundary);
                double capacity = engineClass.layerTokensPerSecond() / size;
                ClassBoundary from = new ClassBoundary(engineClass, boundaries.lower(boundary));
                mRunEdges.put(from, mNetwork.addEdge(previousStart, run, capacity, LOCAL_PHASE));
                mExitEdges.put(
                        classBoundary,
                        mNetwork.addEdge(
                                run, outVertices.get(domainBoundary), linkCapacity, LOCAL_PHASE));
                mContinuationEdges.put(
                        classBoundary,
                        mNetwork.addEdge(run, start, Double.POSITIVE_INFINITY, LOCAL_PHASE));
            }
            if (boundary < end) {
                mEntryEdges.put(
                        classBoundary,
                        mNetwork.addEdge(
                                inVertices.get(domainBoundary), start, linkCapacity, LOCAL_PHASE));
            }
            previousStart = start;
        }
    }

    private void addTransitions(
            int boundary,
            Map<DomainBoundary, Integer> inVertices,
            Map<DomainBoundary, Integer> outVertices) {
        if (boundary == 0 || boundary == mModel.layers()) {
            return;
        }
        for (Identity from : mDomains) {
            for (Identity to : mDomains) {
                boolean sameDomain = from.equals(to);
                double capacity = sameDomain ? Double.POSITIVE_INFINITY : tokensPerSecond(from, to);
                int phase = sameDomain ? LOCAL_PHASE : phase(from, to);
                int out = outVertices.get(new DomainBoundary(from, boundary));
                int in = inVertices.get(new DomainBoundary(to, boundary));
                mTransitionEdges.put(
                        new DomainTransition(from, to, boundary),
                        mNetwork.addEdge(out, in, capacity, phase));
            }
        }
    }

    private int phase(Identity from, Identity to) {
        long latencyNs = mLinks.betweenDomains(from, to).latency().toNanos();
        return latencyNs < REMOTE_LATENCY_NS ? REGION_PHASE : REMOTE_PHASE;
    }

    private double tokensPerSecond(Identity from, Identity to) {
        double perToken =
                mModel.activationBytes() * (1 + EngineCapacity.PROMPT_TOKENS_PER_GENERATED_TOKEN);
        double bytesPerSecond = mLinks.betweenDomains(from, to).bytesPerSecond();
        return bytesPerSecond * mLinkShare.applyAsDouble(from, to) / Math.max(1, perToken);
    }

    /**
     * Lowers the capacities of the edges whose shared resource is overloaded. Returns whether any
     * was lowered.
     */
    private boolean reduceOverloadedCapacities() {
        boolean changed = false;
        for (Map.Entry<Object, List<ResourceUse>> resource : resourceUses().entrySet()) {
            double load = load(resource.getValue());
            if (load > 1 + OVERLOAD_TOLERANCE) {
                resource.getValue()
                        .forEach(use -> use.edge().setCapacity(use.edge().flow() / load));
                changed = true;
            }
        }
        return changed;
    }

    private double largestOverload() {
        return resourceUses().values().stream().mapToDouble(ModelGraph::load).max().orElse(0);
    }

    private static double load(List<ResourceUse> uses) {
        return uses.stream().mapToDouble(use -> use.edge().flow() * use.sharePerToken()).sum();
    }

    /**
     * Use of a shared resource by an edge: the share of the resource that one token per second
     * occupies.
     */
    private record ResourceUse(FlowNetwork.Edge edge, double sharePerToken) {}

    /** Pair of domains, whose link is shared by the transitions at all boundaries. */
    private record DomainPair(Identity from, Identity to) {}

    private Map<Object, List<ResourceUse>> resourceUses() {
        Map<Object, List<ResourceUse>> resources = new LinkedHashMap<>();
        mRunEdges.forEach(
                (classBoundary, edge) -> {
                    int size = nextBoundary(classBoundary.boundary()) - classBoundary.boundary();
                    double share = size / classBoundary.engineClass().layerTokensPerSecond();
                    resources
                            .computeIfAbsent(classBoundary.engineClass(), key -> new ArrayList<>())
                            .add(new ResourceUse(edge, share));
                });
        mTransitionEdges.forEach(
                (transition, edge) -> {
                    if (!transition.from().equals(transition.to())) {
                        double share = 1 / tokensPerSecond(transition.from(), transition.to());
                        resources
                                .computeIfAbsent(
                                        new DomainPair(transition.from(), transition.to()),
                                        key -> new ArrayList<>())
                                .add(new ResourceUse(edge, share));
                    }
                });
        return resources;
    }
}
