package org.amaranthpick.core.placement;

import java.util.Collection;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.DirectedWeightedMultigraph;

/** Upper bound of the throughput of a placement: the maximum flow through its layer graph. */
public final class MaxFlowBound {
    private MaxFlowBound() {}

    /**
     * Computes the bound for one model version. Nodes are layer boundaries; each engine is an edge
     * over the layers that it holds, with its tokens per second as capacity.
     *
     * @param model the model version
     * @param engines engines with their holdings
     * @return tokens per second
     */
    public static double tokensPerSecond(ModelVersionSpec model, Collection<EngineView> engines) {
        DirectedWeightedMultigraph<Integer, DefaultWeightedEdge> graph =
                new DirectedWeightedMultigraph<>(DefaultWeightedEdge.class);
        graph.addVertex(0);
        graph.addVertex(model.layers());
        for (EngineView engine : engines) {
            addEdges(graph, model, engine);
        }
        return new PushRelabelMFImpl<>(graph).calculateMaximumFlow(0, model.layers());
    }

    private static void addEdges(
            DirectedWeightedMultigraph<Integer, DefaultWeightedEdge> graph,
            ModelVersionSpec model,
            EngineView engine) {
        int layers = engine.holdings().stream().mapToInt(h -> h.layers().size()).sum();
        for (UpstreamSpec.Holding holding : engine.holdings()) {
            if (holding.modelVersion().equals(model.id())) {
                int from = holding.layers().from();
                int to = holding.layers().to();
                graph.addVertex(from);
                graph.addVertex(to);
                DefaultWeightedEdge edge = graph.addEdge(from, to);
                graph.setEdgeWeight(edge, engine.layerTokensPerSecond() / layers);
            }
        }
    }
}
