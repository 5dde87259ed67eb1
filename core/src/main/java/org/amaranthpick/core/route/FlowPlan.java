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
 * Maximum flow of one model version as shares to sample chains from. Immutable; a walk from layer 0
 * to the last takes each turn with the probability that the flow gives it.
 */
public final class FlowPlan {
    private static final int MAX_TURNS = 256;
    private static final int START_DRAWS = 4;

    private final double mBoundTokensPerSecond;
    private final double mTokensPerSecond;
    private final int mLayers;
    private final Weights<Start> mStarts;
    private final Map<Identity, Start> mStartOf = new HashMap<>();

    /** Place where a walk enters a class. */
    private static final class Start {
        private final Identity mDomain;
        private Weights<Turn> mTurns = new Weights<>(List.of(), turn -> 0);

        Start(Identity domain) {
            mDomain = domain;
        }
    }

    /** Class entered at a boundary, and where it can be left. */
    private record Turn(EngineClass engines, int from, double flow, List<Exit> exits) {}

    /** Boundary at which a class can be left. */
    private record Exit(int boundary, double probability, Weights<Passage> passages) {}

    /** Passage to the next domain. */
    private record Passage(Start next, double flow) {}

    /** Chooses a member of a class. */
    @FunctionalInterface
    interface MemberChooser {
        /**
         * Chooses a member.
         *
         * @param engines the class
         * @return a member that takes new work, empty if there is none
         */
        Optional<Engine> choose(EngineClass engines);
    }

    FlowPlan(ModelGraph graph, double boundTokensPerSecond, double tokensPerSecond) {
        mBoundTokensPerSecond = boundTokensPerSecond;
        mTokensPerSecond = tokensPerSecond;
        mLayers = graph.model().layers();
        Builder builder = new Builder(graph);
        List<Start> starts = new ArrayList<>();
        Map<Identity, Double> flows = new HashMap<>();
        graph.starts()
                .forEach(
                        (domain, edge) -> {
                            Start start = builder.start(domain, 0);
                            flows.put(domain, edge.flow());
                            if (edge.flow() > 0) {
                                starts.add(start);
                                mStartOf.put(domain, start);
                            }
                        });
        mStarts = new Weights<>(starts, start -> flows.get(start.mDomain));
    }

    /**
     * Returns the upper bound that the hardware sets.
     *
     * @return generated tokens per second
     */
    public double boundTokensPerSecond() {
        return mBoundTokensPerSecond;
    }

    /**
     * Returns the flow that the shares carry without overloading any engine or link.
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
     * @return steps from layer 0 to the last, empty if the walk came to a dead end
     */
    Optional<List<Step>> sampleFrom(
            Identity domain, RandomGenerator random, MemberChooser members) {
        Start start = mStartOf.get(domain);
        return start == null ? Optional.empty() : walk(start, random, members);
    }

    /**
     * Samples a chain that starts anywhere by flow share, if possible outside some domains.
     *
     * @param avoided domains not to start in while another can be drawn
     * @param random source of randomness
     * @param members chooses the members of classes
     * @return steps from layer 0 to the last, empty if the walk came to a dead end
     */
    Optional<List<Step>> sampleOutside(
            Set<Identity> avoided, RandomGenerator random, MemberChooser members) {
        if (mStarts.isEmpty()) {
            return Optional.empty();
        }
        Start start = mStarts.draw(random);
        for (int i = 1; i < START_DRAWS && avoided.contains(start.mDomain); i++) {
            start = mStarts.draw(random);
        }
        return walk(start, random, members);
    }

    private Optional<List<Step>> walk(Start start, RandomGenerator random, MemberChooser members) {
        Start at = start;
        List<Step> steps = new ArrayList<>();
        for (int turns = 0; turns < MAX_TURNS; turns++) {
            if (at.mTurns.isEmpty()) {
                return Optional.empty();
            }
            Turn turn = at.mTurns.draw(random);
            Optional<Engine> engine = members.choose(turn.engines());
            if (engine.isEmpty() || uses(steps, engine.get())) {
                return Optional.empty();
            }
            Exit exit = exit(turn, random);
            steps.add(new Step(engine.get(), new LayerRange(turn.from(), exit.boundary())));
            if (exit.boundary() == mLayers) {
                return Optional.of(steps);
            }
            if (exit.passages().isEmpty()) {
                return Optional.empty();
            }
            at = exit.passages().draw(random).next();
        }
        return Optional.empty();
    }

    private static boolean uses(List<Step> steps, Engine engine) {
        for (Step step : steps) {
            if (step.engine().id().equals(engine.id())) {
                return true;
            }
        }
        return false;
    }

    private static Exit exit(Turn turn, RandomGenerator random) {
        List<Exit> exits = turn.exits();
        for (int i = 0; i < exits.size() - 1; i++) {
            if (random.nextDouble() < exits.get(i).probability()) {
                return exits.get(i);
            }
        }
        return exits.get(exits.size() - 1);
    }

    /** Builds the starts of every domain and boundary from the last one back. */
    private static final class Builder {
        private final ModelGraph mGraph;
        private final Map<Integer, Map<Identity, Start>> mMade = new HashMap<>();

        Builder(ModelGraph graph) {
            mGraph = graph;
        }

        Start start(Identity domain, int boundary) {
            Map<Identity, Start> made = mMade.computeIfAbsent(boundary, key -> new HashMap<>());
            Start start = made.get(domain);
            if (start != null) {
                return start;
            }
            start = new Start(domain);
            made.put(domain, start);
            List<Turn> turns = new ArrayList<>();
            for (EngineClass engines : mGraph.classes()) {
                FlowNetwork.Edge enter =
                        mGraph.enters().get(new ModelGraph.ClassPoint(engines, boundary));
                if (enter != null && enter.flow() > 0 && engines.domain().equals(domain)) {
                    turns.add(new Turn(engines, boundary, enter.flow(), exits(engines, boundary)));
                }
            }
            start.mTurns = new Weights<>(turns, Turn::flow);
            return start;
        }

        private List<Exit> exits(EngineClass engines, int from) {
            List<Exit> exits = new ArrayList<>();
            int end = Math.min(engines.layers().to(), mGraph.model().layers());
            for (int at = mGraph.nextBoundary(from); ; at = mGraph.nextBoundary(at)) {
                ModelGraph.ClassPoint point = new ModelGraph.ClassPoint(engines, at);
                double leaving = mGraph.exits().get(point).flow();
                double staying = at == end ? 0 : mGraph.continues().get(point).flow();
                double probability = staying <= 0 ? 1 : leaving / (leaving + staying);
                if (probability > 0) {
                    exits.add(new Exit(at, probability, passages(engines.domain(), at)));
                }
                if (staying <= 0) {
                    return exits;
                }
            }
        }

        private Weights<Passage> passages(Identity from, int boundary) {
            List<Passage> passages = new ArrayList<>();
            if (boundary == mGraph.model().layers()) {
                return new Weights<>(passages, Passage::flow);
            }
            for (Identity to : mGraph.starts().keySet()) {
                FlowNetwork.Edge edge =
                        mGraph.crossings().get(new ModelGraph.Crossing(from, to, boundary));
                if (edge.flow() > 0) {
                    passages.add(new Passage(start(to, boundary), edge.flow()));
                }
            }
            return new Weights<>(passages, Passage::flow);
        }
    }
}
