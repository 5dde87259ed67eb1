package org.amaranthpick.core.route;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;

/**
 * Receives the progress of attempts on chosen chains, so that choices account for work that
 * upstreams have not reported yet.
 */
public interface ChainFeedback {
    /**
     * Called when an attempt is sent.
     *
     * @param chain its chain
     * @param tokens prompt tokens to prefill
     */
    void onSent(Chain chain, int tokens);

    /**
     * Called when the first token of an attempt arrives.
     *
     * @param chain its chain
     * @param elapsed time since the attempt was sent
     */
    void onFirstToken(Chain chain, Duration elapsed);

    /**
     * Called when further tokens of an attempt have arrived.
     *
     * @param chain its chain
     * @param tokens number of tokens, 1 or more
     * @param elapsed time in which they arrived
     */
    default void onTokens(Chain chain, int tokens, Duration elapsed) {}

    /**
     * Called exactly once after {@link #onSent} when the attempt ends, whatever its outcome.
     *
     * @param chain its chain
     */
    void onEnded(Chain chain);

    /**
     * Called when an upstream fails an attempt.
     *
     * @param upstream upstream that failed
     * @param reason description of the failure
     */
    void onFailure(Identity upstream, String reason);
}
