package org.amaranthpick.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.upstream.TokenFrame;

/**
 * Puts the tokens of one answer in order: token i is taken once, only from the current attempt, and
 * handed on only when i is next. Confined to the request's event queue.
 */
final class TokenSequencer {
    private final String mRequestId;
    private final int mMaxTokens;
    private final int mMaxBuffered;
    private final List<String> mTexts = new ArrayList<>();
    private final Queue<TokenFrame> mReady = new ArrayDeque<>(1);
    private final Map<Integer, TokenFrame> mAhead = new HashMap<>(1);
    private int mAttempt;
    private Chain mChain;

    /**
     * Creates a sequencer before the first attempt.
     *
     * @param requestId id of the request
     * @param maxTokens tokens of the answer at most
     * @param maxBuffered tokens held at most
     */
    TokenSequencer(String requestId, int maxTokens, int maxBuffered) {
        mRequestId = requestId;
        mMaxTokens = maxTokens;
        mMaxBuffered = maxBuffered;
    }

    /**
     * Makes an attempt the current one; frames of earlier ones are late from now on.
     *
     * @param attempt number of the attempt
     * @param chain its chain
     */
    void begin(int attempt, Chain chain) {
        mAttempt = attempt;
        mChain = chain;
        mAhead.clear();
    }

    /**
     * Returns the current attempt.
     *
     * @return its number, 0 before the first
     */
    int attempt() {
        return mAttempt;
    }

    /**
     * Judges a frame and takes it if it is good.
     *
     * @param streamAttempt attempt whose stream brought the frame
     * @param frame the frame
     * @return what became of it
     */
    FrameVerdict accept(int streamAttempt, TokenFrame frame) {
        if (!frame.requestId().equals(mRequestId)
                || frame.attempt() != streamAttempt
                || frame.attempt() > mAttempt) {
            return FrameVerdict.FOREIGN;
        }
        if (frame.attempt() < mAttempt) {
            return FrameVerdict.LATE;
        }
        if (frame.index() < next() || mAhead.containsKey(frame.index())) {
            return FrameVerdict.DUPLICATE;
        }
        if (!LayerTrace.isWhole(mChain, frame.trace())) {
            return FrameVerdict.WRONG_TRACE;
        }
        if (frame.index() >= mMaxTokens) {
            return FrameVerdict.OUT_OF_RANGE;
        }
        if (buffered() >= mMaxBuffered) {
            return FrameVerdict.OVERFLOW;
        }
        take(frame);
        return FrameVerdict.ACCEPTED;
    }

    /**
     * Takes the next token to hand on.
     *
     * @return the token, empty if the next one has not come
     */
    Optional<TokenFrame> poll() {
        return Optional.ofNullable(mReady.poll());
    }

    /**
     * Counts the tokens taken in order; this is the index of the next one.
     *
     * @return tokens without a gap
     */
    int next() {
        return mTexts.size();
    }

    /**
     * Tells whether all the tokens asked for have come.
     *
     * @return true if no further token can follow
     */
    boolean isFull() {
        return next() == mMaxTokens;
    }

    /**
     * Counts the tokens held: those not handed on yet and those ahead of a missing one.
     *
     * @return number of tokens
     */
    int buffered() {
        return mReady.size() + mAhead.size();
    }

    /**
     * Tells whether tokens wait to be handed on.
     *
     * @return true if {@link #poll()} would give one
     */
    boolean hasReady() {
        return !mReady.isEmpty();
    }

    /**
     * Returns the texts taken in order.
     *
     * @return copy, oldest first
     */
    List<String> texts() {
        return List.copyOf(mTexts);
    }

    private void take(TokenFrame frame) {
        if (frame.index() != next()) {
            mAhead.put(frame.index(), frame);
            return;
        }
        TokenFrame taken = frame;
        while (taken != null) {
            mTexts.add(taken.text());
            mReady.add(taken);
            taken = mAhead.isEmpty() ? null : mAhead.remove(next());
        }
    }
}
