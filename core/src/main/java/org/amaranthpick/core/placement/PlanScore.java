package org.amaranthpick.core.placement;

import org.amaranthpick.core.name.Identity;

/** Scores a draft for one domain. */
final class PlanScore {
    private static final double MIN_RATIO = 0.01;
    private static final double MISSING_CHAIN_PENALTY = 1000;

    private PlanScore() {}

    /**
     * Returns the score of a domain. Missing chains dominate; otherwise each model version counts
     * with the logarithm of its throughput relative to its target, which favours fair shares.
     */
    static double of(PlanDraft draft, ShortfallRanking ranking, Identity domain) {
        double score = 0;
        for (int model = 0; model < draft.models().size(); model++) {
            if (isRelevant(draft, ranking, model, domain)) {
                score += score(ranking.shortfall(model, domain));
            }
        }
        return score;
    }

    /** Returns whether a model version lacks chains that a domain depends on. */
    static boolean lacksChain(
            PlanDraft draft, ShortfallRanking ranking, int model, Identity domain) {
        return isRelevant(draft, ranking, model, domain)
                && ranking.shortfall(model, domain).level() < ShortfallRanking.THROUGHPUT;
    }

    private static boolean isRelevant(
            PlanDraft draft, ShortfallRanking ranking, int model, Identity domain) {
        return !draft.models().get(model).retired() && ranking.mayHold(model, domain);
    }

    private static double score(ShortfallRanking.Shortfall shortfall) {
        if (shortfall.level() < ShortfallRanking.THROUGHPUT) {
            double progress =
                    shortfall.level() == ShortfallRanking.TOO_FEW_CHAINS
                            ? shortfall.ratio()
                            : -shortfall.ratio();
            return MISSING_CHAIN_PENALTY * (shortfall.level() - ShortfallRanking.THROUGHPUT)
                    + progress;
        }
        return Math.log(Math.min(1, shortfall.ratio()) + MIN_RATIO);
    }
}
