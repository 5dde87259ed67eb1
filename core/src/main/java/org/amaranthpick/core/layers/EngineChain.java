package org.amaranthpick.core.layers;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Engines that run all layers of a model, each layer once and in order.
 *
 * @param parts parts in order of the layers
 * @param tokenMs predicted time of one token step on the idle chain
 * @param kvTokens tokens of context that the chain has room for
 */
public record EngineChain(List<ChainPart> parts, double tokenMs, double kvTokens) {
    /** Longest chain that engines accept. */
    public static final int MAX_PARTS = 32;

    /** Copies the parts. */
    public EngineChain {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the engine that takes the request.
     *
     * @return first engine
     */
    public UpstreamEntry first() {
        return parts.get(0).engine();
    }

    /**
     * Checks that the chain runs every layer once, in order, on different engines that hold them.
     *
     * @param layers number of layers of the model
     * @return true if it does
     */
    public boolean covers(int layers) {
        int next = 0;
        Set<String> engines = new HashSet<>();
        for (ChainPart part : parts) {
            boolean held =
                    part.engine().layers().filter(h -> h.contains(part.layers())).isPresent();
            if (part.layers().from() != next || !held || !engines.add(part.engine().id())) {
                return false;
            }
            next = part.layers().to();
        }
        return next == layers && parts.size() <= MAX_PARTS;
    }

    /**
     * Tells whether an engine is part of the chain.
     *
     * @param id id of the engine
     * @return true if it is
     */
    public boolean contains(String id) {
        return parts.stream().anyMatch(part -> part.engine().id().equals(id));
    }

    @Override
    public String toString() {
        return parts.stream()
                .map(part -> part.engine().address() + "=" + part.layers())
                .collect(Collectors.joining(","));
    }
}
