package org.amaranthpick.core.admit;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainFeedback;

/** Passes feedback on and tells the delay of tokens to a gate. */
public final class GatedFeedback implements ChainFeedback {
    private final ChainFeedback mNext;
    private final DelayWindowGate mGate;

    /**
     * Creates a feedback.
     *
     * @param next told of everything
     * @param gate told of the delay of tokens, by key of the model version
     */
    public GatedFeedback(ChainFeedback next, DelayWindowGate gate) {
        mNext = next;
        mGate = gate;
    }

    @Override
    public void onSent(Chain chain, int tokens) {
        mNext.onSent(chain, tokens);
    }

    @Override
    public void onFirstToken(Chain chain, Duration elapsed) {
        mGate.onFirstToken(chain.modelVersion().key(), elapsed);
        mNext.onFirstToken(chain, elapsed);
    }

    @Override
    public void onTokens(Chain chain, int tokens, Duration elapsed) {
        mGate.onTokens(chain.modelVersion().key(), tokens, elapsed);
        mNext.onTokens(chain, tokens, elapsed);
    }

    @Override
    public void onEnded(Chain chain) {
        mNext.onEnded(chain);
    }

    @Override
    public void onFailure(Identity upstream, String reason) {
        mNext.onFailure(upstream, reason);
    }
}
