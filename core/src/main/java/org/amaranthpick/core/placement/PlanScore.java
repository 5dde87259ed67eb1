package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/** Rates what a draft does for one domain. */
final class PlanScore {
    private static final double LEAST_RATIO = 0.01;
    private static final double LACK_PENALTY = 1000;

    private PlanScore() {}

    /** Rates a domain: lack of chains first, then the fair share of the throughput wanted. */
    static double of(Draft draft, NeedRanking ranking, Identity domain) {
        double score = 0;
        for (int model = 0; model < draft.models().size(); model++) {
            if (counts(draft, ranking, model, domain)) {
                score += value(ranking.need(model, domain));
            }
        }
        return score;
    }

    /** Tells whether a model lacks a chain in a domain that is to have one. */
    static boolean lacksChain(Draft draft, NeedRanking ranking, int model, Identity domain) {
        return counts(draft, ranking, model, domain)
                && ranking.need(model, domain).level() < NeedRanking.THROUGHPUT;
    }

    private static boolean counts(Draft draft, NeedRanking ranking, int model, Identity domain) {
        return !draft.models().get(model).retired() && ranking.concerns(model, domain);
    }

    private static double value(NeedRanking.Need need) {
        if (need.level() < NeedRanking.THROUGHPUT) {
            double progress = need.level() == NeedRanking.FEW_CHAINS ? need.ratio() : -need.ratio();
            return LACK_PENALTY * (need.level() - NeedRanking.THROUGHPUT) + progress;
        }
        return Math.log(Math.min(1, need.ratio()) + LEAST_RATIO);
    }
}
