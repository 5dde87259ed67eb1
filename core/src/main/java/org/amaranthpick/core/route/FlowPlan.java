package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Maximum flow of one model version in a form that chains can be sampled from. A random walk from
 * layer 0 to the last layer chooses each edge with a probability proportional to its flow.
 * Immutable.
 */
public final class FlowPlan {
    private static final int MAX_STEPS = 256;
    private static final int MAX_START_SAMPLES = 4;

    private final double mBoundTokensPerSecond;
    private final double mTokensPerSecond;
    private final int mLayers;
    private final WeightedSampler<DomainNode> mStartNodes;
    private final Map<Identity, DomainNode> mStartNodeByDomain = new HashMap<>();

    /** Boundary of one domain, where a walk enters an engine class. */
    private static final class DomainNode {
        private final Identity mDomain;
        private WeightedSampler<ClassEntry> mEntries = new WeightedSampler<>(List.of(), entry -> 0);

        DomainNode(Identity domain) {
            mDomain = domain;
        }
    }

    /** Engine class that is entered at a boundary, with the exits that can follow. */
    private record ClassEntry(
            EngineClass engineClass, int boundary, double flow, List<ClassExit> exits) {}

    /** Boundary at which a walk leaves a class, and the domains that it can continue in. */
    private record ClassExit(
            int boundary, double probability, WeightedSampler<Transition> transitions) {}

    /** Transition to the domain of the next hop, which may be the same domain. */
    private record Transition(DomainNode next, double flow) {}

    /** Chooses a member of an engine class. */
    @FunctionalInterface
    interface MemberChooser {
        /**
         * Chooses a member.
         *
         * @param engineClass engine class
         * @return a member that accepts new work, empty if there is none
         */
        Optional<Engine> choose(EngineClass engineClass);
    }

    FlowPlan(ModelGraph graph, double boundTokensPerSecond, double tokensPerSecond) {
        mBoundTokensPerSecond = boundTokensPerSecond;
        mTokensPerSecond = tokensPerSecond;
        mLayers = graph.model().layers();
        Builder builder = new Builder(graph);
        List<DomainNode> starts = new ArrayList<>();
        Map<Identity, Double> flows = new HashMap<>();
        graph.sourceEdges()
                .forEach(
                        (domain, edge) -> {
                            DomainNode start = builder.node(domain, 0);
                            flows.put(domain, edge.flow());
                            if (edge.flow() > 0) {
                                starts.add(start);
                                mStartNodeByDomain.put(domain, start);
                            }
                        });
        mStartNodes = new WeightedSampler<>(starts, start -> flows.get(start.mDomain));
    }

    /**
     * Returns the upper bound given by the capacities of engines and links.
     *
     * @return generated tokens per second
     */
    public double boundTokensPerSecond() {
        return mBoundTokensPerSecond;
    }

    /**
     * Returns the flow that the plan carries without overloading any engine or link.
     *
     * @return generated tokens per second
     */
    public double tokensPerSecond() {
        return mTokensPerSecond;
    }

    /**
     * Samples a chain that starts in one domain.
     *
     * @param domain domain to start in
     * @param random source of randomness
     * @param members chooses the members of classes
     * @return steps from layer 0 to the last layer, empty if the walk reached a dead end
     */
    Optional<List<ChainStep>> sampleFrom(
            Identity domain, RandomGenerator random, MemberChooser members) {
        DomainNode start = mStartNodeByDomain.get(domain);
        return start == null ? Optional.empty() : walk(start, random, members);
    }

    /**
     * Samples a chain that starts in any domain, chosen by flow, if possible outside the given
     * domains.
     *
     * @param avoided domains that the chain should not start in; a few samples are drawn to avoid
     *     them
     * @param random source of randomness
     * @param members chooses the members of classes
     * @return steps from layer 0 to the last layer, empty if the walk reached a dead end
     */
    Optional<List<ChainStep>> sampleOutside(
            Set<Identity> avoided, RandomGenerator random, MemberChooser members) {
        if (mStartNodes.isEmpty()) {
            return Optional.empty();
        }
        DomainNode start = mStartNodes.sample(random);
        for (int i = 1; i < MAX_START_SAMPLES && avoided.contains(start.mDomain); i++) {
            start = mStartNodes.sample(random);
        }
        return walk(start, random, members);
    }

    private Optional<List<ChainStep>> walk(
            DomainNode start, RandomGenerator random, MemberChooser members) {
        DomainNode node = start;
        List<ChainStep> steps = new ArrayList<>();
        for (int count = 0; count < MAX_STEPS; count++) {
            if (node.mEntries.isEmpty()) {
                return Optional.empty();
            }
            ClassEntry entry = node.mEntries.sample(random);
            Optional<Engine> engine = members.choose(entry.engineClass());
            if (engine.isEmpty() || uses(steps, engine.get())) {
                return Optional.empty();
            }
            ClassExit exit = sampleExit(entry, random);
            steps.add(
                    new ChainStep(engine.get(), new LayerRange(entry.boundary(), exit.boundary())));
            if (exit.boundary() == mLayers) {
                return Optional.of(steps);
            }
            if (exit.transitions().isEmpty()) {
                return Optional.empty();
            }
            node = exit.transitions().sample(random).next();
        }
        return Optional.empty();
    }

    private static boolean uses(List<ChainStep> steps, Engine engine) {
        for (ChainStep step : steps) {
            if (step.engine().id().equals(engine.id())) {
                return true;
            }
        }
        return false;
    }

    private static ClassExit sampleExit(ClassEntry entry, RandomGenerator random) {
        List<ClassExit> exits = entry.exits();
        for (int i = 0; i < exits.size() - 1; i++) {
            if (random.nextDouble() < exits.get(i).probability()) {
                return exits.get(i);
            }
        }
        return exits.get(exits.size() - 1);
    }

    /**
     * Builds the nodes of every domain and boundary recursively; the nodes that a transition leads
     * to are built first.
     */
    private static final class Builder {
        private final ModelGraph mGraph;
        private final Map<Integer, Map<Identity, DomainNode>> mNodes = new HashMap<>();

        Builder(ModelGraph graph) {
            mGraph = graph;
        }

        DomainNode node(Identity domain, int boundary) {
            Map<Identity, DomainNode> nodesByDomain =
                    mNodes.computeIfAbsent(boundary, key -> new HashMap<>());
            DomainNode node = nodesByDomain.get(domain);
            if (node != null) {
                return node;
            }
            node = new DomainNode(domain);
            nodesByDomain.put(domain, node);
            List<ClassEntry> entries = new ArrayList<>();
            for (EngineClass engineClass : mGraph.classes()) {
                FlowNetwork.Edge entryEdge =
                        mGraph.entryEdges()
                                .get(new ModelGraph.ClassBoundary(engineClass, boundary));
                if (entryEdge != null
                        && entryEdge.flow() > 0
                        && engineClass.domain().equals(domain)) {
                    entries.add(
                            new ClassEntry(
                                    engineClass,
                                    boundary,
                                    entryEdge.flow(),
                                    exits(engineClass, boundary)));
                }
            }
            node.mEntries = new WeightedSampler<>(entries, ClassEntry::flow);
            return node;
        }

        private List<ClassExit> exits(EngineClass engineClass, int from) {
            List<ClassExit> exits = new ArrayList<>();
            int end = Math.min(engineClass.layers().to(), mGraph.model().layers());
            for (int at = mGraph.nextBoundary(from); ; at = mGraph.nextBoundary(at)) {
                ModelGraph.ClassBoundary classBoundary =
                        new ModelGraph.ClassBoundary(engineClass, at);
                double exitFlow = mGraph.exitEdges().get(classBoundary).flow();
                double continuingFlow =
                        at == end ? 0 : mGraph.continuationEdges().get(classBoundary).flow();
                double probability =
                        continuingFlow <= 0 ? 1 : exitFlow / (exitFlow + continuingFlow);
                if (probability > 0) {
                    exits.add(
                            new ClassExit(at, probability, transitions(engineClass.domain(), at)));
                }
                if (continuingFlow <= 0) {
                    return exits;
                }
            }
        }

        private WeightedSampler<Transition> transitions(Identity from, int boundary) {
            List<Transition> transitions = new ArrayList<>();
            if (boundary == mGraph.model().layers()) {
                return new WeightedSampler<>(transitions, Transition::flow);
            }
            for (Identity to : mGraph.sourceEdges().keySet()) {
                FlowNetwork.Edge edge =
                        mGraph.transitionEdges()
                                .get(new ModelGraph.DomainTransition(from, to, boundary));
                if (edge.flow() > 0) {
                    transitions.add(new Transition(node(to, boundary), edge.flow()));
                }
            }
            return new WeightedSampler<>(transitions, Transition::flow);
        }
    }
}
