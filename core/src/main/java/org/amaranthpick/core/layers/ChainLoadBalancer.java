package org.amaranthpick.core.layers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.room.RoomView;

/**
 * Balances requests over chains by this daemon's requests in progress relative to the KV cache
 * memory of the tightest engine, weighted by the observed token latency. Designed for bursts of
 * callers and for the loss of a domain's chains: KV cache memory runs out long before compute does,
 * so counting requests balances better than drawing by latency. A chain that slows down keeps its
 * requests for longer and so gets fewer new ones without further measures. Requests are counted by
 * engine, since chains share engines and change while requests are in progress.
 *
 * <p>In a fleet of many daemons each has hardly a request on any chain. A chain is then drawn about
 * in proportion to its memory, so that daemons which know nothing of each other don't all start
 * with the largest chain.
 *
 * <p>Where it is known how full a chain is, the room that is left counts in place of its memory:
 * the waves of callers of one failure domain then go to chains of others. Confined to one thread.
 */
public final class ChainLoadBalancer {
    /** Requests added to the count of a remote chain, since a partition would break its streams. */
    private static final double REMOTE_DOMAIN_PENALTY_REQUESTS = 1;

    /** Exponent of the token latency in the cost; below 1 so that memory outweighs latency. */
    private static final double LATENCY_EXPONENT = 0.3;

    /** Fill up to which a chain counts as empty, as requests end before it is full. */
    private static final double FREE_FILL = 0.7;

    /** Least part of the room above that counts as left, so that full chains can be compared. */
    private static final double MIN_ROOM = 0.05;

    private final TokenLatencyEstimator mLatency;
    private final RoomView mRoom;
    private final String mLocalDomain;
    private final RandomGenerator mRandom;

    /** Requests in progress times the layers that they use, by engine. */
    private final Map<String, Integer> mInProgress = new HashMap<>();

    /**
     * Creates a load balancer without requests in progress.
     *
     * @param latency expected token latency of the chains
     * @param room how full the chains are
     * @param localDomain failure domain of this daemon
     * @param random source of the jitter
     */
    public ChainLoadBalancer(
            TokenLatencyEstimator latency,
            RoomView room,
            String localDomain,
            RandomGenerator random) {
        mLatency = latency;
        mRoom = room;
        mLocalDomain = localDomain;
        mRandom = random;
    }

    /**
     * Returns the chain for the next request. A suspect engine loses its requests and so looks
     * idle; its chains get one request at a time, unless all other chains are suspect too.
     *
     * @param chains usable chains
     * @param suspect true for an engine that failed and has not succeeded since
     * @param nowNs monotonic time
     * @return chain, empty if there is none
     */
    public Optional<EngineChain> leastLoaded(
            List<EngineChain> chains, Predicate<String> suspect, long nowNs) {
        Predicate<ChainStage> occupiedSuspect =
                stage ->
                        mInProgress.containsKey(stage.engine().id())
                                && suspect.test(stage.engine().id());
        List<EngineChain> eligible =
                chains.stream()
                        .filter(chain -> chain.stages().stream().noneMatch(occupiedSuspect))
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
        double ownRequests = mRandom.nextDouble();
        if (!chain.firstEngine().domain().equals(mLocalDomain)) {
            ownRequests += REMOTE_DOMAIN_PENALTY_REQUESTS;
        }
        double requestsPerToken =
                requestsPerToken(chain) + ownRequests / Math.max(1, chain.kvCapacityTokens());
        double left = (1 - mRoom.fill(chain, nowNs).orElse(0)) / (1 - FREE_FILL);
        double room = Math.max(MIN_ROOM, Math.min(1, left));
        return requestsPerToken
                / room
                * Math.pow(mLatency.expectedMs(chain, nowNs), LATENCY_EXPONENT);
    }

    /** Returns the requests in progress for each token of memory at the most occupied engine. */
    private double requestsPerToken(EngineChain chain) {
        double most = 0;
        for (ChainStage stage : chain.stages()) {
            double requestLayers = mInProgress.getOrDefault(stage.engine().id(), 0);
            most = Math.max(most, requestLayers / Math.max(1, stage.kvTokenLayers()));
        }
        return most;
    }

    /**
     * Counts a request that is sent to a chain.
     *
     * @param chain the chain
     */
    public void onSent(EngineChain chain) {
        for (ChainStage stage : chain.stages()) {
            mInProgress.merge(stage.engine().id(), stage.layers().size(), Integer::sum);
        }
    }

    /**
     * Removes a request that ended from the count of its chain.
     *
     * @param chain the chain
     */
    public void onEnded(EngineChain chain) {
        for (ChainStage stage : chain.stages()) {
            int layers = stage.layers().size();
            mInProgress.computeIfPresent(
                    stage.engine().id(), (id, sum) -> sum > layers ? sum - layers : null);
        }
    }
}
