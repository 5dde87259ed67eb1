package org.amaranthpick.core.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.amaranthpick.core.name.Identity;

/** Ranks the model versions that an engine could serve by the urgency of their shortfall. */
final class ShortfallRanking {
    /** No chain in any domain. */
    static final int NO_CHAIN = 0;

    /** No chain in a domain that should have one. */
    static final int NO_LOCAL_CHAIN = 1;

    /** Fewer chains than the manifest requires. */
    static final int TOO_FEW_CHAINS = 2;

    /** Enough chains; throughput is compared with its target. */
    static final int THROUGHPUT = 3;

    private static final Comparator<Shortfall> ORDER =
            Comparator.comparingInt(Shortfall::level)
                    .thenComparingDouble(Shortfall::ratio)
                    .thenComparingInt(Shortfall::model);

    private final PlanDraft mDraft;
    private final ThroughputTargets mTargets;

    /**
     * Shortfall of a model version in a domain.
     *
     * @param model index of the model version in the plan input
     * @param level urgency, {@link #NO_CHAIN} first
     * @param ratio lower is more urgent within a level
     */
    record Shortfall(int model, int level, double ratio) {}

    ShortfallRanking(PlanDraft draft, ThroughputTargets targets) {
        mDraft = draft;
        mTargets = targets;
    }

    /**
     * Returns the node where an engine is needed most.
     *
     * @param engine engine with free memory
     * @param filter shortfalls to consider
     * @return node to place, empty if nothing fits
     */
    Optional<PlanDraft.PlacedNode> mostNeededNode(EngineView engine, Predicate<Shortfall> filter) {
        return IntStream.range(0, mDraft.models().size())
                .filter(model -> !mDraft.models().get(model).retired())
                .filter(model -> mTargets.mayHold(model, engine.domain()))
                .filter(model -> mDraft.freeLayers(engine, model) > 0)
                .mapToObj(model -> shortfall(model, engine.domain()))
                .filter(filter)
                .min(ORDER)
                .map(shortfall -> chooseNode(engine, shortfall.model()));
    }

    /** Chooses the node of a model version to place on an engine. */
    PlanDraft.PlacedNode chooseNode(EngineView engine, int model) {
        int layers = mDraft.freeLayers(engine, model);
        LayerFlow flow = flow(model, engine.domain());
        return new PlanDraft.PlacedNode(
                model, flow.bestNode(engine.layerTokensPerSecond(), layers));
    }

    /** Returns the shortfall of a model version in a domain. */
    Shortfall shortfall(int model, Identity domain) {
        LayerFlow flow = flow(model, domain);
        LayerFlow pooled = mDraft.pooledFlow(model);
        if (flow.chains() == 0) {
            int level = pooled.chains() == 0 ? NO_CHAIN : NO_LOCAL_CHAIN;
            return new Shortfall(model, level, flow.uncovered());
        }
        int chains = pooled.chains();
        if (chains < mDraft.models().get(model).minChains()) {
            return new Shortfall(model, TOO_FEW_CHAINS, chains);
        }
        boolean home = mTargets.isHome(model, domain);
        double target = home ? mTargets.forDomain(model, domain) : mTargets.total(model);
        return new Shortfall(model, THROUGHPUT, flow.total() / target);
    }

    /** Returns whether no single domain has room for a model version. */
    boolean spansDomains(int model) {
        return mTargets.spansDomains(model);
    }

    /** Returns whether a domain may hold layers of a model version. */
    boolean mayHold(int model, Identity domain) {
        return mTargets.mayHold(model, domain);
    }

    private LayerFlow flow(int model, Identity domain) {
        return mTargets.isHome(model, domain)
                ? mDraft.domainFlow(model, domain)
                : mDraft.pooledFlow(model);
    }
}
