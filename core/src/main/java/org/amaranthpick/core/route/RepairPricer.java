package org.amaranthpick.core.route;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Prices hops for an attempt that follows another: a survivor keeps the KV cache of its layers, a
 * new engine imports it from a survivor that has all its layers, or computes it.
 */
final class RepairPricer implements HopPricer {
    private final ChainRequest mRequest;
    private final LinkCosts mLinks;
    private final FirstTokenPredictor mPredictor;
    private final Survivors mSurvivors;

    /** Finds engines of the previous chain that can still export. */
    @FunctionalInterface
    interface Survivors {
        /**
         * Tells whether a hop of the previous chain still holds its KV cache.
         *
         * @param hop hop of the previous chain
         * @return its engine, empty if it is lost
         */
        Optional<Engine> engine(Hop hop);
    }

    RepairPricer(
            ChainRequest request,
            LinkCosts links,
            FirstTokenPredictor predictor,
            Survivors survivors) {
        mRequest = request;
        mLinks = links;
        mPredictor = predictor;
        mSurvivors = survivors;
    }

    @Override
    public PricedHop price(Engine engine, LayerRange layers) {
        Step step = new Step(engine, layers);
        int tokens = mRequest.promptTokens() + mRequest.doneTokens();
        long decodeNs = engine.accelerator().layerTimeNs() * layers.size();
        PricedHop best =
                new PricedHop(
                        new Hop(engine.id(), layers, new KvSource.Compute()),
                        waitNs(engine) + mPredictor.prefillNs(step, tokens) + decodeNs);
        if (mRequest.previous().isEmpty()) {
            return best;
        }
        for (Hop held : mRequest.previous().get().hops()) {
            PricedHop reuse = reuse(engine, layers, held, tokens, decodeNs);
            if (reuse != null && reuse.costNs() < best.costNs()) {
                best = reuse;
            }
        }
        return best;
    }

    @Override
    public long linkNs(Identity fromDomain, Identity toDomain) {
        return mLinks.between(fromDomain, toDomain).latency().toNanos();
    }

    /**
     * Predicts a chain found by search.
     *
     * @param steps its parts
     * @param chain the chain
     * @return time to the next token, in nanoseconds
     */
    long predictNs(List<Step> steps, Chain chain) {
        long totalNs = 0;
        for (int i = 0; i < steps.size(); i++) {
            Engine engine = steps.get(i).engine();
            totalNs += price(engine, chain.hops().get(i).layers()).costNs();
            totalNs += i == 0 ? 0 : linkNs(steps.get(i - 1).engine().domain(), engine.domain());
        }
        return totalNs;
    }

    private PricedHop reuse(Engine engine, LayerRange layers, Hop held, int tokens, long decodeNs) {
        if (!held.layers().contains(layers)) {
            return null;
        }
        if (held.upstream().equals(engine.id())) {
            return new PricedHop(new Hop(engine.id(), layers, new KvSource.Keep()), decodeNs);
        }
        if (mRequest.excluded().contains(held.upstream())) {
            return null;
        }
        Engine holder = mSurvivors.engine(held).orElse(null);
        if (holder == null) {
            return null;
        }
        long bytes = mRequest.model().kvBytesPerLayerToken() * layers.size() * tokens;
        long importNs = mPredictor.linkNs(mLinks, holder, engine, bytes);
        return new PricedHop(
                new Hop(engine.id(), layers, new KvSource.Import(held.upstream())),
                waitNs(engine) + importNs + decodeNs);
    }

    private long waitNs(Engine engine) {
        return mPredictor.waitNs(engine, mPredictor.own(engine), mRequest.expectedTokens());
    }
}
