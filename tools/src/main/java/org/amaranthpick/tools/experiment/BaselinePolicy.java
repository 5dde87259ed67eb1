package org.amaranthpick.tools.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.TargetPolicy;
import org.amaranthpick.core.layers.EngineChain;

/** Takes the chain with the lowest cost among those that can be used. */
final class BaselinePolicy implements TargetPolicy {
    private final ChainSource mChains;
    private final Cost mCost;
    private final Map<String, Integer> mInProgress = new HashMap<>();

    /** Rates a chain. */
    @FunctionalInterface
    interface Cost {
        /**
         * Rates a chain; the lowest is taken.
         *
         * @param chain the chain
         * @param inProgress own requests in progress there
         */
        double of(EngineChain chain, int inProgress);
    }

    BaselinePolicy(ChainSource chains, Cost cost) {
        mChains = chains;
        mCost = cost;
    }

    /** The fastest idle chain takes all; what it has no room for waits there, first come first. */
    static TargetPolicy firstCome(ChainSource chains) {
        return new BaselinePolicy(chains, (chain, inProgress) -> chain.idleTokenMs());
    }

    /** The chain with the fewest own requests in progress. */
    static TargetPolicy leastOutstanding(ChainSource chains, RandomGenerator random) {
        return new BaselinePolicy(
                chains, (chain, inProgress) -> inProgress + random.nextDouble() / 2);
    }

    /** Any chain. */
    static TargetPolicy random(ChainSource chains, RandomGenerator random) {
        return new BaselinePolicy(chains, (chain, inProgress) -> random.nextDouble());
    }

    @Override
    public Optional<Target> choose(GatewayService service, Set<String> tried, long nowNs) {
        List<EngineChain> chains = mChains.chains(service, tried, nowNs);
        EngineChain best = null;
        double bestCost = 0;
        for (EngineChain chain : chains) {
            double cost = mCost.of(chain, mInProgress.getOrDefault(chain.firstEngine().id(), 0));
            if (best == null || cost < bestCost) {
                best = chain;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best)
                .map(chain -> new Target(chain.firstEngine(), Optional.of(chain)));
    }

    @Override
    public void onSent(Target target) {
        mInProgress.merge(target.upstream().id(), 1, Integer::sum);
    }

    @Override
    public void onEvent(Target target, double pauseMs, int tokens, long nowNs) {
        // Pace decides nothing here.
    }

    @Override
    public void onEnded(Target target) {
        mInProgress.merge(target.upstream().id(), -1, Integer::sum);
    }
}
