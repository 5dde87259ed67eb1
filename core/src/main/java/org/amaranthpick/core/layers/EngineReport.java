package org.amaranthpick.core.layers;

import java.util.List;
import java.util.Map;

/** Result of a query for the state of an engine. */
public sealed interface EngineReport {
    /**
     * The engine answered.
     *
     * @param ordersBegun number of orders that the engine has begun since its start
     * @param queued number of queued requests
     * @param running number of running requests
     * @param usedTokenLayers used KV cache, in tokens times layers
     * @param totalTokenLayers capacity of the KV cache, in tokens times layers
     * @param stalled addresses of unresponsive engines that requests wait for, by request id
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
     * The engine did not answer.
     *
     * @param reason cause
     * @param unreachable whether no connection could be made
     */
    record Absent(String reason, boolean unreachable) implements EngineReport {}
}
