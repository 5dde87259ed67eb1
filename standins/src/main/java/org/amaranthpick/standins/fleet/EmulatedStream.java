package org.amaranthpick.standins.fleet;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;

/** One generation on its way through a chain of emulated engines. */
public final class EmulatedStream {
    private final EmulatedFleet mFleet;
    private final EngineChain mChain;
    private final Listener mListener;
    private int mContextTokens;
    private int mAnswerTokensLeft;
    private boolean mHoldsMemory;
    private boolean mTaken;
    private boolean mOver;
    private int mStage;
    private int mRound;
    private Optional<String> mLostAt = Optional.empty();
    private long mLostNs;

    /** Told what the stream brings. */
    public interface Listener {
        /**
         * An event came.
         *
         * @param tokens its tokens
         */
        void onEvent(int tokens);

        /** The answer is complete. */
        void onComplete();

        /** The first engine had no room; nothing has run. */
        void onRefused();

        /** An engine of the chain was dead for too long; the stream broke off. */
        void onBroken();
    }

    EmulatedStream(
            EmulatedFleet fleet,
            EngineChain chain,
            int promptTokens,
            int answerTokens,
            Listener listener) {
        mFleet = fleet;
        mChain = chain;
        mContextTokens = promptTokens;
        mAnswerTokensLeft = answerTokens;
        mListener = listener;
    }

    /** Ends the stream; its memory is free at once. */
    public void cancel() {
        if (!mOver) {
            mOver = true;
            if (mTaken) {
                mFleet.onOver(this);
            }
        }
    }

    /** The first engine took it. */
    void take() {
        mTaken = true;
    }

    EngineChain chain() {
        return mChain;
    }

    int contextTokens() {
        return mContextTokens;
    }

    boolean over() {
        return mOver;
    }

    boolean holdsMemory() {
        return mHoldsMemory;
    }

    void setHoldsMemory(boolean holds) {
        mHoldsMemory = holds;
    }

    private ChainStage currentPart() {
        return mChain.stages().get(mStage);
    }

    Optional<String> lostAt() {
        return mLostAt;
    }

    long lostNs() {
        return mLostNs;
    }

    /** One of its engines has died; it waits there in vain. */
    void lose(String engineId, long nowNs) {
        if (mLostAt.isEmpty()) {
            mLostAt = Optional.of(engineId);
            mLostNs = nowNs;
        }
    }

    void breakOff() {
        if (!mOver) {
            cancel();
            mListener.onBroken();
        }
    }

    void refuse() {
        if (!mOver) {
            mOver = true;
            mListener.onRefused();
        }
    }

    /** Reads all tokens so far, stage after stage, then writes. */
    void begin() {
        mRound++;
        readAt(0, mRound);
    }

    /** Loses its place; what is under way for it counts no more. */
    void stop() {
        mRound++;
        mStage = 0;
    }

    private void readAt(int stage, int round) {
        if (round != mRound || mOver) {
            return;
        }
        mStage = stage;
        mFleet.work(
                this,
                currentPart(),
                mContextTokens,
                () -> {
                    if (stage + 1 < mChain.stages().size()) {
                        mFleet.hop(mChain, stage, mContextTokens, () -> readAt(stage + 1, round));
                    } else {
                        writeAt(0, round);
                    }
                });
    }

    private void writeAt(int stage, int round) {
        if (round != mRound || mOver) {
            return;
        }
        mStage = stage;
        int tokens = Math.min(mAnswerTokensLeft, mFleet.model().tokensPerEvent());
        mFleet.work(
                this,
                currentPart(),
                0,
                () -> {
                    if (round != mRound || mOver) {
                        return;
                    }
                    if (stage + 1 < mChain.stages().size()) {
                        mFleet.hop(mChain, stage, tokens, () -> writeAt(stage + 1, round));
                    } else {
                        onWritten(tokens, round);
                    }
                });
    }

    private void onWritten(int tokens, int round) {
        mContextTokens += tokens;
        mAnswerTokensLeft -= tokens;
        mFleet.grow(this, tokens);
        mListener.onEvent(tokens);
        if (mOver) {
            return;
        }
        if (mAnswerTokensLeft <= 0) {
            cancel();
            mListener.onComplete();
            return;
        }
        writeAt(0, round);
    }

    List<ChainStage> stages() {
        return mChain.stages();
    }
}
