package org.amaranthpick.core.layers;

import java.util.List;
import java.util.Map;

/** Answer to a question for an engine's state. */
public sealed interface EngineReport {
    /**
     * The engine answered.
     *
     * @param ordersBegun orders that it has begun since its start
     * @param queued requests that wait there
     * @param running requests that run there
     * @param usedTokenLayers memory used, in tokens times layers
     * @param totalTokenLayers memory for requests, in tokens times layers
     * @param stalled addresses of the engines that requests wait for in vain, by request id
     */
    record Present(
            long ordersBegun,
            int queued,
            int running,
            long usedTokenLayers,
            long totalTokenLayers,
            Map<String, List<String>> stalled)
            implements EngineReport {
        /** Copies the map. */
        public Present {
            stalled = Map.copyOf(stalled);
        }
    }

    /**
     * There was no answer.
     *
     * @param reason what was seen
     * @param unreachable whether no connection could be made
     */
    record Absent(String reason, boolean unreachable) implements EngineReport {}
}
