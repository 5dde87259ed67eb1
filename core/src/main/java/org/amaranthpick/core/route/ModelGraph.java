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
 * Capacity graph of one model version. Engines are grouped in classes of equal domain and layers;
 * each class is split at every layer boundary, so that a part of a holding can be used. Per domain
 * and boundary an "out" and an "in" vertex join the classes; links between domains are edges from
 * out to in.
 */
final class ModelGraph {
    private static final int LOCAL_PHASE = 0;
    private static final int REGION_PHASE = 1;
    private static final int FAR_PHASE = 2;
    private static final int PHASES = 3;
    private static final int MAX_ROUNDS = 4;
    private static final double TOLERANCE = 1e-3;
    private static final long FAR_LATENCY_NS = 5_000_000;

    private final ModelVersionSpec mModel;
    private final LinkCosts mLinks;
    private final ToDoubleBiFunction<Identity, Identity> mLinkShare;
    private final List<EngineClass> mClasses;
    private final List<Integer> mBoundaries;
    private final List<Identity> mDomains;
    private final FlowNetwork mNetwork = new FlowNetwork();
    private final Map<Identity, FlowNetwork.Edge> mStarts = new TreeMap<>();
    private final Map<ClassPoint, FlowNetwork.Edge> mEnters = new LinkedHashMap<>();
    private final Map<ClassPoint, FlowNetwork.Edge> mExits = new LinkedHashMap<>();
    private final Map<ClassPoint, FlowNetwork.Edge> mContinues = new LinkedHashMap<>();
    private final Map<ClassPoint, FlowNetwork.Edge> mRuns = new LinkedHashMap<>();
    private final Map<Crossing, FlowNetwork.Edge> mCrossings = new LinkedHashMap<>();

    /** Boundary within a class. */
    record ClassPoint(EngineClass engines, int boundary) {}

    /** Passage between domains at a boundary; both may be the same. */
    record Crossing(Identity from, Identity to, int boundary) {}

    /** Place that joins the classes of one domain at a boundary. */
    private record Hub(Identity domain, int boundary) {}

    /**
     * Builds the graph.
     *
     * @param model model version
     * @param engines engines that may take work
     * @param links links of the configuration
     * @param capacity capacity of an engine, in tokens times layers per second
     * @param linkShare part of a link's bandwidth that is left, 0 to 1; below 1 when degraded
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
     * Solves the graph.
     *
     * @return plan with the flow share of every class and passage
     */
    FlowPlan solve() {
        double bound = mNetwork.solve(PHASES);
        double reached = bound;
        for (int round = 1; round < MAX_ROUNDS && tighten(); round++) {
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

    Map<Identity, FlowNetwork.Edge> starts() {
        return mStarts;
    }

    Map<ClassPoint, FlowNetwork.Edge> enters() {
        return mEnters;
    }

    Map<ClassPoint, FlowNetwork.Edge> exits() {
        return mExits;
    }

    Map<ClassPoint, FlowNetwork.Edge> continues() {
        return mContinues;
    }

    Map<Crossing, FlowNetwork.Edge> crossings() {
        return mCrossings;
    }

    /** Returns the first boundary of the graph after a given one. */
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
        for (EngineClass engines : classes) {
            boundaries.add(engines.layers().from());
            boundaries.add(Math.min(model.layers(), engines.layers().to()));
        }
        return boundaries;
    }

    private void build() {
        Map<Hub, Integer> ins = new LinkedHashMap<>();
        Map<Hub, Integer> outs = new LinkedHashMap<>();
        for (Identity domain : mDomains) {
            for (int boundary : mBoundaries) {
                ins.put(new Hub(domain, boundary), mNetwork.newVertex());
                outs.put(new Hub(domain, boundary), mNetwork.newVertex());
            }
            int first = ins.get(new Hub(domain, 0));
            int last = outs.get(new Hub(domain, mModel.layers()));
            mStarts.put(
                    domain,
                    mNetwork.addEdge(
                            mNetwork.source(), first, Double.POSITIVE_INFINITY, LOCAL_PHASE));
            mNetwork.addEdge(last, mNetwork.sink(), Double.POSITIVE_INFINITY, LOCAL_PHASE);
        }
        mClasses.forEach(engines -> addClass(engines, ins, outs));
        for (int boundary : mBoundaries) {
            addCrossings(boundary, ins, outs);
        }
    }

    private void addClass(EngineClass engines, Map<Hub, Integer> ins, Map<Hub, Integer> outs) {
        NavigableSet<Integer> inner = new TreeSet<>(mBoundaries);
        LayerRange layers = engines.layers();
        int end = Math.min(layers.to(), mModel.layers());
        inner = inner.subSet(layers.from(), true, end, true);
        double width =
                engines.members().items().size()
                        * tokensPerSecond(engines.domain(), engines.domain());
        int before = -1;
        for (int boundary : inner) {
            int start = mNetwork.newVertex();
            ClassPoint point = new ClassPoint(engines, boundary);
            Hub hub = new Hub(engines.domain(), boundary);
            if (before >= 0) {
                int run = mNetwork.newVertex();
                int size = boundary - inner.lower(boundary);
                double capacity = engines.layerTokensPerSecond() / size;
                ClassPoint from = new ClassPoint(engines, inner.lower(boundary));
                mRuns.put(from, mNetwork.addEdge(before, run, capacity, LOCAL_PHASE));
                mExits.put(point, mNetwork.addEdge(run, outs.get(hub), width, LOCAL_PHASE));
                mContinues.put(
                        point, mNetwork.addEdge(run, start, Double.POSITIVE_INFINITY, LOCAL_PHASE));
            }
            if (boundary < end) {
                mEnters.put(point, mNetwork.addEdge(ins.get(hub), start, width, LOCAL_PHASE));
            }
            before = start;
        }
    }

    private void addCrossings(int boundary, Map<Hub, Integer> ins, Map<Hub, Integer> outs) {
        if (boundary == 0 || boundary == mModel.layers()) {
            return;
        }
        for (Identity from : mDomains) {
            for (Identity to : mDomains) {
                boolean same = from.equals(to);
                double capacity = same ? Double.POSITIVE_INFINITY : tokensPerSecond(from, to);
                int phase = same ? LOCAL_PHASE : phase(from, to);
                int out = outs.get(new Hub(from, boundary));
                int in = ins.get(new Hub(to, boundary));
                mCrossings.put(
                        new Crossing(from, to, boundary),
                        mNetwork.addEdge(out, in, capacity, phase));
            }
        }
    }

    private int phase(Identity from, Identity to) {
        long latencyNs = mLinks.between(from, to).latency().toNanos();
        return latencyNs < FAR_LATENCY_NS ? REGION_PHASE : FAR_PHASE;
    }

    private double tokensPerSecond(Identity from, Identity to) {
        double perToken = mModel.activationBytes() * (1 + EngineCapacity.PROMPT_TOKENS_PER_TOKEN);
        double bytesPerSecond = mLinks.between(from, to).bytesPerSecond();
        return bytesPerSecond * mLinkShare.applyAsDouble(from, to) / Math.max(1, perToken);
    }

    /** Lowers the capacities of shared resources that are used above what they have. */
    private boolean tighten() {
        boolean changed = false;
        for (Map.Entry<Object, List<Use>> resource : resources().entrySet()) {
            double load = load(resource.getValue());
            if (load > 1 + TOLERANCE) {
                resource.getValue()
                        .forEach(use -> use.edge().setCapacity(use.edge().flow() / load));
                changed = true;
            }
        }
        return changed;
    }

    private double largestOverload() {
        return resources().values().stream().mapToDouble(ModelGraph::load).max().orElse(0);
    }

    private static double load(List<Use> uses) {
        return uses.stream().mapToDouble(use -> use.edge().flow() * use.share()).sum();
    }

    /** Use of a shared resource by an edge: the part of it that one token per second takes. */
    private record Use(FlowNetwork.Edge edge, double share) {}

    /** Pair of domains whose link is shared by all boundaries. */
    private record DomainPair(Identity from, Identity to) {}

    private Map<Object, List<Use>> resources() {
        Map<Object, List<Use>> resources = new LinkedHashMap<>();
        mRuns.forEach(
                (point, edge) -> {
                    int size = nextBoundary(point.boundary()) - point.boundary();
                    double share = size / point.engines().layerTokensPerSecond();
                    resources
                            .computeIfAbsent(point.engines(), key -> new ArrayList<>())
                            .add(new Use(edge, share));
                });
        mCrossings.forEach(
                (crossing, edge) -> {
                    if (!crossing.from().equals(crossing.to())) {
                        double share = 1 / tokensPerSecond(crossing.from(), crossing.to());
                        resources
                                .computeIfAbsent(
                                        new DomainPair(crossing.from(), crossing.to()),
                                        key -> new ArrayList<>())
                                .add(new Use(edge, share));
                    }
                });
        return resources;
    }
}
