package org.amaranthpick.core.route;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;

/** Told of what became of chosen chains, so that own work in flight counts at once. */
public interface ChainFeedback {
    /**
     * An attempt was sent.
     *
     * @param chain its chain
     * @param tokens prompt tokens to compute
     */
    void onSent(Chain chain, int tokens);

    /**
     * The first token of an attempt came.
     *
     * @param chain its chain
     * @param elapsed time since it was sent
     */
    void onFirstToken(Chain chain, Duration elapsed);

    /**
     * More tokens of an attempt came after the first.
     *
     * @param chain its chain
     * @param tokens number of tokens, 1 or more
     * @param elapsed time in which they came
     */
    default void onTokens(Chain chain, int tokens, Duration elapsed) {}

    /**
     * An attempt ended in any way; told exactly once after {@link #onSent}.
     *
     * @param chain its chain
     */
    void onEnded(Chain chain);

    /**
     * An upstream failed an attempt.
     *
     * @param upstream the upstream at fault
     * @param reason what was seen
     */
    void onFailure(Identity upstream, String reason);
}
