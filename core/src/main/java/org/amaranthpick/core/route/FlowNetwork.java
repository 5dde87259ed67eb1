package org.amaranthpick.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jgrapht.Graph;
import org.jgrapht.alg.flow.DinicMFImpl;
import org.jgrapht.alg.interfaces.MaximumFlowAlgorithm.MaximumFlow;
import org.jgrapht.graph.DefaultDirectedWeightedGraph;
import org.jgrapht.graph.DefaultWeightedEdge;

/**
 * Directed network with capacities. Flow is raised in phases, each on the residual network of the
 * one before, so that edges opened in a late phase carry only what earlier ones could not.
 */
final class FlowNetwork {
    private static final double EPSILON = 1e-6;

    private final List<Edge> mEdges = new ArrayList<>();
    private final int mSource;
    private final int mSink;
    private int mVertexCount;

    /** Edge with its flow. */
    static final class Edge {
        private final int mFrom;
        private final int mTo;
        private final int mPhase;
        private double mCapacity;
        private double mFlow;

        Edge(int from, int to, double capacity, int phase) {
            mFrom = from;
            mTo = to;
            mCapacity = capacity;
            mPhase = phase;
        }

        double flow() {
            return mFlow;
        }

        void setCapacity(double capacity) {
            mCapacity = capacity;
        }
    }

    FlowNetwork() {
        mSource = newVertex();
        mSink = newVertex();
    }

    int source() {
        return mSource;
    }

    int sink() {
        return mSink;
    }

    int newVertex() {
        return mVertexCount++;
    }

    /**
     * Adds an edge.
     *
     * @param from vertex
     * @param to vertex
     * @param capacity capacity, 0 or more, may be infinite
     * @param phase first phase that may use it
     * @return the edge
     */
    Edge addEdge(int from, int to, double capacity, int phase) {
        Edge edge = new Edge(from, to, capacity, phase);
        mEdges.add(edge);
        return edge;
    }

    /**
     * Computes a maximum flow from nothing.
     *
     * @param phases number of phases
     * @return value of the flow
     */
    double solve(int phases) {
        mEdges.forEach(edge -> edge.mFlow = 0);
        double total = 0;
        for (int phase = 0; phase < phases; phase++) {
            int open = phase;
            total += augment(edge -> edge.mPhase <= open);
        }
        return total;
    }

    private double augment(Predicate<Edge> open) {
        Graph<Integer, DefaultWeightedEdge> graph =
                new DefaultDirectedWeightedGraph<>(DefaultWeightedEdge.class);
        for (int vertex = 0; vertex < mVertexCount; vertex++) {
            graph.addVertex(vertex);
        }
        DefaultWeightedEdge[] forward = new DefaultWeightedEdge[mEdges.size()];
        DefaultWeightedEdge[] backward = new DefaultWeightedEdge[mEdges.size()];
        for (int i = 0; i < mEdges.size(); i++) {
            Edge edge = mEdges.get(i);
            if (open.test(edge)) {
                forward[i] = residual(graph, edge.mFrom, edge.mTo, edge.mCapacity - edge.mFlow);
                backward[i] = residual(graph, edge.mTo, edge.mFrom, edge.mFlow);
            }
        }
        MaximumFlow<DefaultWeightedEdge> result =
                new DinicMFImpl<>(graph, EPSILON).getMaximumFlow(mSource, mSink);
        Map<DefaultWeightedEdge, Double> flow = result.getFlowMap();
        for (int i = 0; i < mEdges.size(); i++) {
            mEdges.get(i).mFlow += flowOf(flow, forward[i]) - flowOf(flow, backward[i]);
        }
        return result.getValue();
    }

    private static DefaultWeightedEdge residual(
            Graph<Integer, DefaultWeightedEdge> graph, int from, int to, double capacity) {
        if (capacity <= EPSILON) {
            return null;
        }
        DefaultWeightedEdge edge = graph.addEdge(from, to);
        graph.setEdgeWeight(edge, capacity);
        return edge;
    }

    private static double flowOf(Map<DefaultWeightedEdge, Double> flow, DefaultWeightedEdge edge) {
        return edge == null ? 0 : flow.getOrDefault(edge, 0.0);
    }
}
