package org.amaranthpick.core.admit;

import java.time.Duration;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainFeedback;

/** Feedback that reports token delays to a gate and forwards all calls. */
public final class DelayReportingFeedback implements ChainFeedback {
    private final ChainFeedback mNext;
    private final DelayWindowGate mGate;

    /**
     * Creates a feedback.
     *
     * @param next feedback that all calls are forwarded to
     * @param gate gate that receives the token delays, by key of the model version
     */
    public DelayReportingFeedback(ChainFeedback next, DelayWindowGate gate) {
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
