package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Cost model for an attempt that follows another one of the same request. An engine of the previous
 * chain keeps the KV cache of its layers; another engine imports it from an engine of the previous
 * chain that holds all of its layers, or computes it, whichever is cheaper.
 */
final class RepairCostModel implements HopCostModel {
    private final ChainRequest mRequest;
    private final LinkCosts mLinks;
    private final FirstTokenPredictor mPredictor;
    private final SurvivorLookup mSurvivorLookup;

    /** Finds the engines of the previous chain that can still export their KV cache. */
    @FunctionalInterface
    interface SurvivorLookup {
        /**
         * Returns the engine of a hop of the previous chain if it still holds its KV cache.
         *
         * @param hop hop of the previous chain
         * @return engine of the hop, empty if it is lost
         */
        Optional<Engine> engine(Hop hop);
    }

    RepairCostModel(
            ChainRequest request,
            LinkCosts links,
            FirstTokenPredictor predictor,
            SurvivorLookup survivorLookup) {
        mRequest = request;
        mLinks = links;
        mPredictor = predictor;
        mSurvivorLookup = survivorLookup;
    }

    @Override
    public CostedHop hopCost(Engine engine, LayerRange layers) {
        ChainStep step = new ChainStep(engine, layers);
        int tokens = mRequest.promptTokens() + mRequest.emittedTokens();
        long decodeNs = engine.accelerator().layerTimeNs() * layers.size();
        CostedHop best =
                new CostedHop(
                        new Hop(engine.id(), layers, new KvSource.Compute()),
                        waitNs(engine) + mPredictor.prefillNs(step, tokens) + decodeNs);
        if (mRequest.previousChain().isEmpty()) {
            return best;
        }
        for (Hop previousHop : mRequest.previousChain().get().hops()) {
            CostedHop reuse = reuseCost(engine, layers, previousHop, tokens, decodeNs);
            if (reuse != null && reuse.costNs() < best.costNs()) {
                best = reuse;
            }
        }
        return best;
    }

    @Override
    public long linkNs(Identity fromDomain, Identity toDomain) {
        return mLinks.betweenDomains(fromDomain, toDomain).latency().toNanos();
    }

    /**
     * Predicts the time to the next token of a chain found by search.
     *
     * @param steps engines and layers of the chain
     * @param chain the chain
     * @return predicted time in nanoseconds
     */
    long firstTokenNs(List<ChainStep> steps, Chain chain) {
        long totalNs = 0;
        for (int i = 0; i < steps.size(); i++) {
            Engine engine = steps.get(i).engine();
            totalNs += hopCost(engine, chain.hops().get(i).layers()).costNs();
            totalNs += i == 0 ? 0 : linkNs(steps.get(i - 1).engine().domain(), engine.domain());
        }
        return totalNs;
    }

    private CostedHop reuseCost(
            Engine engine, LayerRange layers, Hop previousHop, int tokens, long decodeNs) {
        if (!previousHop.layers().contains(layers)) {
            return null;
        }
        if (previousHop.upstream().equals(engine.id())) {
            return new CostedHop(new Hop(engine.id(), layers, new KvSource.Keep()), decodeNs);
        }
        if (mRequest.excludedUpstreams().contains(previousHop.upstream())) {
            return null;
        }
        Engine holder = mSurvivorLookup.engine(previousHop).orElse(null);
        if (holder == null) {
            return null;
        }
        long bytes = mRequest.model().kvBytesPerLayerToken() * layers.size() * tokens;
        long importNs = mPredictor.linkNs(mLinks, holder, engine, bytes);
        return new CostedHop(
                new Hop(engine.id(), layers, new KvSource.Import(previousHop.upstream())),
                waitNs(engine) + importNs + decodeNs);
    }

    private long waitNs(Engine engine) {
        return mPredictor.queueWaitNs(
                engine, mPredictor.inFlight(engine), mRequest.expectedTokens());
    }
}
