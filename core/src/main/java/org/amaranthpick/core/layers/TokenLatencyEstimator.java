package org.amaranthpick.core.layers;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the token latency of chains from this daemon's streams. Observations decay towards the
 * predicted latency, so that a slow chain is tried again. Confined to one thread.
 */
public final class TokenLatencyEstimator {
    /** Weight of the newest sample in the exponentially weighted moving average. */
    private static final double EWMA_WEIGHT = 0.05;

    /** Time after which an observation has half its weight. */
    private static final double HALF_LIFE_NS = 2e9;

    /** Ratio of the token latency on a shared chain, where steps queue, to that on an idle one. */
    private static final double QUEUEING_FACTOR = 1.5;

    private final Map<String, Estimate> mEstimates = new HashMap<>();

    private record Estimate(double tokenMs, long updatedNs) {}

    /**
     * Records the latency of one token.
     *
     * @param chain chain that produced the token
     * @param tokenMs time since the previous token
     * @param nowNs monotonic time
     */
    public void onToken(EngineChain chain, double tokenMs, long nowNs) {
        double average = expectedMs(chain, nowNs);
        mEstimates.put(
                key(chain), new Estimate(average + EWMA_WEIGHT * (tokenMs - average), nowNs));
    }

    /**
     * Returns the expected token latency.
     *
     * @param chain the chain
     * @param nowNs monotonic time
     * @return latency in ms
     */
    public double expectedMs(EngineChain chain, long nowNs) {
        double predicted = chain.idleTokenMs() * QUEUEING_FACTOR;
        Estimate estimate = mEstimates.get(key(chain));
        if (estimate == null) {
            return predicted;
        }
        double weight = Math.pow(0.5, (nowNs - estimate.updatedNs()) / HALF_LIFE_NS);
        return predicted + weight * (estimate.tokenMs() - predicted);
    }

    private static String key(EngineChain chain) {
        return chain.firstEngine().id();
    }
}
