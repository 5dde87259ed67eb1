package org.amaranthpick.standins;

import java.time.Duration;
import java.util.List;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * What an engine stand-in is.
 *
 * @param upstream key of its upstream
 * @param holdings model versions, layers and adapters held at the start
 * @param tokenDelay time that each token takes in this stage
 * @param keepAlive time between keep-alive lines while no token comes
 * @param loadDelay time that an order to load takes
 * @param memoryBytes free memory reported
 * @param maxStreams streams at once; more are refused
 * @param honoursFencing true if orders with an old fencing number are refused
 * @param recordRuns true to record every layer run, for tests
 */
public record EngineOptions(
        String upstream,
        List<UpstreamSpec.Holding> holdings,
        Duration tokenDelay,
        Duration keepAlive,
        Duration loadDelay,
        long memoryBytes,
        int maxStreams,
        boolean honoursFencing,
        boolean recordRuns) {
    private static final int DEFAULT_MAX_STREAMS = 200;

    /** Copies the list. */
    public EngineOptions {
        holdings = List.copyOf(holdings);
    }

    /**
     * Returns options with usual values.
     *
     * @param upstream key of the upstream
     * @param holdings what it holds
     * @return options: no delay, fencing honoured, runs recorded
     */
    public static EngineOptions of(String upstream, List<UpstreamSpec.Holding> holdings) {
        return new EngineOptions(
                upstream,
                holdings,
                Duration.ZERO,
                Duration.ofMillis(500),
                Duration.ZERO,
                0,
                DEFAULT_MAX_STREAMS,
                true,
                true);
    }

    /**
     * Returns these options with another token delay.
     *
     * @param delay time that each token takes in this stage
     * @return changed copy
     */
    public EngineOptions withTokenDelay(Duration delay) {
        return new EngineOptions(
                upstream,
                holdings,
                delay,
                keepAlive,
                loadDelay,
                memoryBytes,
                maxStreams,
                honoursFencing,
                recordRuns);
    }

    /**
     * Returns these options without fencing.
     *
     * @return changed copy that takes every order
     */
    public EngineOptions ignoringFencing() {
        return new EngineOptions(
                upstream,
                holdings,
                tokenDelay,
                keepAlive,
                loadDelay,
                memoryBytes,
                maxStreams,
                false,
                recordRuns);
    }

    /**
     * Returns these options without a record of runs, for long measuring runs.
     *
     * @return changed copy
     */
    public EngineOptions withoutRecord() {
        return new EngineOptions(
                upstream,
                holdings,
                tokenDelay,
                keepAlive,
                loadDelay,
                memoryBytes,
                maxStreams,
                honoursFencing,
                false);
    }
}
