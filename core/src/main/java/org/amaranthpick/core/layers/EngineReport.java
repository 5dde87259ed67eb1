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
     * @param reason what was seen
     * @param cause why it did not
     */
    record Absent(String reason, Cause cause) implements EngineReport {
        /** Why an engine did not answer. */
        public enum Cause {
            /** A connection was made, and no report came over it. */
            NO_REPORT,
            /** No connection could be made. */
            UNREACHABLE,
            /** No connection could be made, which may be due to the paths of this daemon. */
            NO_PATH,
            /** The engine asked for a pause and was not queried. */
            PAUSED
        }
    }
}
