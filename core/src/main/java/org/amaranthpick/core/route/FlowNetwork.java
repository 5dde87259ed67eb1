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
 * Directed flow network with capacities. The maximum flow is computed in phases, each on the
 * residual network of the previous one, so that edges opened in a later phase only carry what the
 * edges of earlier phases cannot.
 */
final class FlowNetwork {
    private static final double EPSILON = 1e-6;

    private final List<Edge> mEdges = new ArrayList<>();
    private final int mSource;
    private final int mSink;
    private int mVertexCount;

    /** Edge with its capacity and current flow. */
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
     * @param from start vertex
     * @param to end vertex
     * @param capacity capacity, 0 or more, possibly infinite
     * @param phase first phase in which the edge is open
     * @return the edge
     */
    Edge addEdge(int from, int to, double capacity, int phase) {
        Edge edge = new Edge(from, to, capacity, phase);
        mEdges.add(edge);
        return edge;
    }

    /**
     * Computes the maximum flow, starting from zero flow.
     *
     * @param phases number of phases
     * @return value of the flow
     */
    double solve(int phases) {
        mEdges.forEach(edge -> edge.mFlow = 0);
        double total = 0;
        for (int phase = 0; phase < phases; phase++) {
            int currentPhase = phase;
            total += augment(edge -> edge.mPhase <= currentPhase);
        }
        return total;
    }

    private double augment(Predicate<Edge> isOpen) {
        Graph<Integer, DefaultWeightedEdge> graph =
                new DefaultDirectedWeightedGraph<>(DefaultWeightedEdge.class);
        for (int vertex = 0; vertex < mVertexCount; vertex++) {
            graph.addVertex(vertex);
        }
        DefaultWeightedEdge[] forward = new DefaultWeightedEdge[mEdges.size()];
        DefaultWeightedEdge[] backward = new DefaultWeightedEdge[mEdges.size()];
        for (int i = 0; i < mEdges.size(); i++) {
            Edge edge = mEdges.get(i);
            if (isOpen.test(edge)) {
                forward[i] =
                        addResidualEdge(graph, edge.mFrom, edge.mTo, edge.mCapacity - edge.mFlow);
                backward[i] = addResidualEdge(graph, edge.mTo, edge.mFrom, edge.mFlow);
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

    private static DefaultWeightedEdge addResidualEdge(
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
