package org.amaranthpick.core.layers;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Engines that together run all layers of a model, each layer once and in order.
 *
 * @param stages stages in order of the layers
 * @param idleTokenMs predicted token latency of the idle chain
 * @param kvCapacityTokens tokens of context that fit into the KV cache of every engine
 */
public record EngineChain(List<ChainStage> stages, double idleTokenMs, double kvCapacityTokens) {
    /** Maximum number of stages that engines accept. */
    public static final int MAX_STAGES = 32;

    /** Copies the stages. */
    public EngineChain {
        stages = List.copyOf(stages);
    }

    /**
     * Returns the first engine, which requests are sent to.
     *
     * @return engine of the first stage
     */
    public UpstreamEntry firstEngine() {
        return stages.get(0).engine();
    }

    /**
     * Checks that the chain runs every layer once, in order, on distinct engines that hold them.
     *
     * @param layers number of layers of the model
     * @return true if the chain is valid
     */
    public boolean covers(int layers) {
        int next = 0;
        Set<String> engines = new HashSet<>();
        for (ChainStage stage : stages) {
            boolean holdsLayers =
                    stage.engine()
                            .layers()
                            .filter(held -> held.contains(stage.layers()))
                            .isPresent();
            if (stage.layers().from() != next
                    || !holdsLayers
                    || !engines.add(stage.engine().id())) {
                return false;
            }
            next = stage.layers().to();
        }
        return next == layers && stages.size() <= MAX_STAGES;
    }

    /**
     * Checks whether an engine is part of the chain.
     *
     * @param id id of the engine
     * @return true if a stage runs on the engine
     */
    public boolean contains(String id) {
        return stages.stream().anyMatch(stage -> stage.engine().id().equals(id));
    }

    @Override
    public String toString() {
        return stages.stream()
                .map(stage -> stage.engine().address() + "=" + stage.layers())
                .collect(Collectors.joining(","));
    }
}
