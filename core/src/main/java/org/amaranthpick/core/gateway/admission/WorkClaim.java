package org.amaranthpick.core.gateway.admission;

import java.util.OptionalLong;

/**
 * What a caller says about the work that its request needs. Nothing of it is verified.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param maxAnswerTokens maximum length of the answer, in tokens
 * @param expectedAnswerTokens the caller's estimate of the length of the answer, in tokens
 */
public record WorkClaim(
        OptionalLong promptTokens,
        OptionalLong maxAnswerTokens,
        OptionalLong expectedAnswerTokens) {
    /** Claim of a caller that says nothing. */
    public static final WorkClaim NONE =
            new WorkClaim(OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
}
