package org.amaranthpick.core.layers;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Estimates the token latency of chains from this daemon's streams. Observations decay towards the
 * predicted latency, so that a slow chain is tried again. Confined to one thread.
 */
public final class TokenLatencyEstimator {
    /** Weight of the newest sample in the exponentially weighted moving average. */
    private static final double EWMA_WEIGHT = 0.05;

    /** Time after which an observation has half its weight. */
    private static final double HALF_LIFE_NS = 2e9;

    /** Time after which an observation counts for nothing. */
    private static final double FORGOTTEN_AFTER_NS = 10 * HALF_LIFE_NS;

    /** Number of estimates from which forgotten ones are dropped. */
    private static final int MAX_ESTIMATES = 256;

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
        prune(nowNs);
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

    /** Chains share engines, so that the first one doesn't tell them apart. */
    private static String key(EngineChain chain) {
        return chain.stages().stream()
                .map(stage -> stage.engine().id())
                .collect(Collectors.joining(","));
    }

    /** Drops estimates that count for nothing, since chains come and go with the engines. */
    private void prune(long nowNs) {
        if (mEstimates.size() > MAX_ESTIMATES) {
            mEstimates
                    .values()
                    .removeIf(estimate -> nowNs - estimate.updatedNs() > FORGOTTEN_AFTER_NS);
        }
    }
}
