package org.amaranthpick.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.amaranthpick.core.name.Identity;

/** Ranks the model versions that an engine could serve by how much they lack. */
final class NeedRanking {
    /** No chain anywhere. */
    static final int NO_CHAIN = 0;

    /** No chain in a domain that is to have one. */
    static final int NO_LOCAL_CHAIN = 1;

    /** Fewer chains than the manifest asks for. */
    static final int FEW_CHAINS = 2;

    /** Chains are there; throughput is compared with demand. */
    static final int THROUGHPUT = 3;

    private static final Comparator<Need> ORDER =
            Comparator.comparingInt(Need::level)
                    .thenComparingDouble(Need::ratio)
                    .thenComparingInt(Need::model);

    private final Draft mDraft;
    private final Wants mWants;

    /**
     * What a model version lacks in a domain.
     *
     * @param model index of the model
     * @param level how pressing it is, {@link #NO_CHAIN} first
     * @param ratio lower is more pressing within a level
     */
    record Need(int model, int level, double ratio) {}

    NeedRanking(Draft draft, Wants wants) {
        mDraft = draft;
        mWants = wants;
    }

    /**
     * Finds where an engine is needed most.
     *
     * @param engine engine with room
     * @param filter needs looked at
     * @return node to hold, empty if nothing fits
     */
    Optional<Draft.Placed> neediest(EngineView engine, Predicate<Need> filter) {
        return IntStream.range(0, mDraft.models().size())
                .filter(model -> !mDraft.models().get(model).retired())
                .filter(model -> mWants.mayHold(model, engine.domain()))
                .filter(model -> mDraft.freeLayers(engine, model) > 0)
                .mapToObj(model -> need(model, engine.domain()))
                .filter(filter)
                .min(ORDER)
                .map(need -> place(engine, need.model()));
    }

    /** Chooses the node of a model that an engine should hold. */
    Draft.Placed place(EngineView engine, int model) {
        int layers = mDraft.freeLayers(engine, model);
        LayerFlow flow = flow(model, engine.domain());
        return new Draft.Placed(model, flow.bestNode(engine.layerTokensPerSecond(), layers));
    }

    /** Tells what a model lacks in a domain. */
    Need need(int model, Identity domain) {
        LayerFlow flow = flow(model, domain);
        LayerFlow pooled = mDraft.pooled(model);
        if (flow.chains() == 0) {
            int level = pooled.chains() == 0 ? NO_CHAIN : NO_LOCAL_CHAIN;
            return new Need(model, level, flow.uncovered());
        }
        int chains = pooled.chains();
        if (chains < mDraft.models().get(model).minChains()) {
            return new Need(model, FEW_CHAINS, chains);
        }
        boolean home = mWants.isHome(model, domain);
        double wanted = home ? mWants.local(model, domain) : mWants.total(model);
        return new Need(model, THROUGHPUT, flow.total() / wanted);
    }

    /** Tells whether no domain alone has room for a model. */
    boolean spansDomains(int model) {
        return mWants.spansDomains(model);
    }

    /** Tells whether a domain may hold layers of a model. */
    boolean concerns(int model, Identity domain) {
        return mWants.mayHold(model, domain);
    }

    private LayerFlow flow(int model, Identity domain) {
        return mWants.isHome(model, domain) ? mDraft.local(model, domain) : mDraft.pooled(model);
    }
}
