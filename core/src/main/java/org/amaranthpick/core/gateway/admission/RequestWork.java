package org.amaranthpick.core.gateway.admission;

import java.util.OptionalLong;
import org.amaranthpick.core.gateway.EngineModel;

/**
 * Work that a request is expected to need.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param answerTokens expected length of the answer, in tokens
 * @param usualTokens usual length of a prompt and its answer, in tokens
 */
public record RequestWork(double promptTokens, double answerTokens, double usualTokens) {
    /** A claim may differ from what is usual for the model by this factor, either way. */
    private static final double MAX_FACTOR = 8;

    /**
     * Derives the work from a claim. What is absent or not positive counts as usual. A claim far
     * from usual is limited, so that a caller gains little by a false one. An estimate of the
     * answer is often far off and counts half, beside the usual length; it never exceeds the
     * maximum.
     *
     * @param claim what the caller says
     * @param model parameters of the model
     * @return work
     */
    public static RequestWork of(WorkClaim claim, EngineModel model) {
        double usualPrompt = Math.max(1, model.usualPromptTokens());
        double usualAnswer = Math.max(1, model.usualAnswerTokens());
        double expected = limited(claim.expectedAnswerTokens(), usualAnswer);
        double maximum = positive(claim.maxAnswerTokens(), Double.MAX_VALUE);
        return new RequestWork(
                limited(claim.promptTokens(), usualPrompt),
                Math.min(maximum, (expected + usualAnswer) / 2),
                usualPrompt + usualAnswer);
    }

    private static double limited(OptionalLong claimed, double usual) {
        double value = positive(claimed, usual);
        return Math.max(usual / MAX_FACTOR, Math.min(usual * MAX_FACTOR, value));
    }

    private static double positive(OptionalLong claimed, double fallback) {
        return claimed.isPresent() && claimed.getAsLong() > 0 ? claimed.getAsLong() : fallback;
    }

    /**
     * Returns the memory that the request takes at its end.
     *
     * @return tokens
     */
    public double tokens() {
        return promptTokens + answerTokens;
    }

    /**
     * Returns the work relative to that of a usual request.
     *
     * @return factor
     */
    public double relative() {
        return tokens() / usualTokens;
    }
}
