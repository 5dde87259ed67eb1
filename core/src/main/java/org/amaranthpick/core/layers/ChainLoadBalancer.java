package org.amaranthpick.core.layers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Balances requests over chains by this daemon's requests in progress relative to the chain's KV
 * cache capacity, weighted by the observed token latency. Designed for bursts of callers and for
 * the loss of a domain's chains: KV cache memory runs out long before compute does, so counting
 * requests balances better than drawing by latency. A chain that slows down keeps its requests for
 * longer and so gets fewer new ones without further measures. Confined to one thread.
 */
public final class ChainLoadBalancer {
    /** Requests added to the count of a remote chain, since a partition would break its streams. */
    private static final double REMOTE_DOMAIN_PENALTY_REQUESTS = 0.5;

    /**
     * Upper bound of the random amount added to each count, in requests, so that idle daemons don't
     * all choose the same chain.
     */
    private static final double JITTER_REQUESTS = 0.5;

    /** Exponent of the token latency in the cost; below 1 so that memory outweighs latency. */
    private static final double LATENCY_EXPONENT = 0.3;

    private final TokenLatencyEstimator mLatency;
    private final String mLocalDomain;
    private final RandomGenerator mRandom;
    private final Map<String, Integer> mInProgress = new HashMap<>();

    /**
     * Creates a load balancer without requests in progress.
     *
     * @param latency expected token latency of the chains
     * @param localDomain failure domain of this daemon
     * @param random source of the jitter
     */
    public ChainLoadBalancer(
            TokenLatencyEstimator latency, String localDomain, RandomGenerator random) {
        mLatency = latency;
        mLocalDomain = localDomain;
        mRandom = random;
    }

    /**
     * Returns the chain for the next request. A suspect chain loses its requests and so looks idle;
     * it gets one request at a time, unless all other chains are suspect too.
     *
     * @param chains usable chains
     * @param suspect true for a chain with a stage that failed and has not succeeded since
     * @param nowNs monotonic time
     * @return chain, empty if there is none
     */
    public Optional<EngineChain> leastLoaded(
            List<EngineChain> chains, Predicate<EngineChain> suspect, long nowNs) {
        List<EngineChain> eligible =
                chains.stream()
                        .filter(
                                chain ->
                                        !mInProgress.containsKey(chain.firstEngine().id())
                                                || !suspect.test(chain))
                        .toList();
        return cheapest(eligible.isEmpty() ? chains : eligible, nowNs);
    }

    private Optional<EngineChain> cheapest(List<EngineChain> chains, long nowNs) {
        EngineChain best = null;
        double bestCost = 0;
        for (EngineChain chain : chains) {
            double cost = cost(chain, nowNs);
            if (best == null || cost < bestCost) {
                best = chain;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(EngineChain chain, long nowNs) {
        double requests =
                mInProgress.getOrDefault(chain.firstEngine().id(), 0)
                        + 1
                        + JITTER_REQUESTS * mRandom.nextDouble();
        if (!chain.firstEngine().domain().equals(mLocalDomain)) {
            requests += REMOTE_DOMAIN_PENALTY_REQUESTS;
        }
        return requests
                * Math.pow(mLatency.expectedMs(chain, nowNs), LATENCY_EXPONENT)
                / Math.max(1, chain.kvCapacityTokens());
    }

    /**
     * Counts a request that is sent to a chain.
     *
     * @param chain the chain
     */
    public void onSent(EngineChain chain) {
        mInProgress.merge(chain.firstEngine().id(), 1, Integer::sum);
    }

    /**
     * Removes a request that ended from the count of its chain.
     *
     * @param chain the chain
     */
    public void onEnded(EngineChain chain) {
        mInProgress.computeIfPresent(
                chain.firstEngine().id(), (id, count) -> count > 1 ? count - 1 : null);
    }
}
