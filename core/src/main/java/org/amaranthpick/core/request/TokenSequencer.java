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
 * Orders the tokens of one answer: accepts each index once, only from the current attempt, and
 * releases tokens without gaps. Confined to the request's event queue.
 */
final class TokenSequencer {
    private final String mRequestId;
    private final int mMaxTokens;
    private final int mMaxBuffered;
    private final List<String> mTexts = new ArrayList<>();
    private final Queue<TokenFrame> mReady = new ArrayDeque<>(1);
    private final Map<Integer, TokenFrame> mOutOfOrder = new HashMap<>(1);
    private int mAttempt;
    private Chain mChain;

    /**
     * Creates a sequencer before the first attempt.
     *
     * @param requestId id of the request
     * @param maxTokens maximum number of answer tokens
     * @param maxBuffered maximum number of buffered tokens
     */
    TokenSequencer(String requestId, int maxTokens, int maxBuffered) {
        mRequestId = requestId;
        mMaxTokens = maxTokens;
        mMaxBuffered = maxBuffered;
    }

    /**
     * Makes an attempt the current one; frames of earlier attempts count as late from now on.
     *
     * @param attempt number of the attempt
     * @param chain chain of the attempt
     */
    void startAttempt(int attempt, Chain chain) {
        mAttempt = attempt;
        mChain = chain;
        mOutOfOrder.clear();
    }

    /**
     * Returns the number of the current attempt.
     *
     * @return number of the attempt, 0 before the first
     */
    int attempt() {
        return mAttempt;
    }

    /**
     * Checks a frame and adds its token to the answer if it is valid.
     *
     * @param streamAttempt number of the attempt on whose stream the frame arrived
     * @param frame the frame
     * @return result of the check
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
        if (frame.index() < nextIndex() || mOutOfOrder.containsKey(frame.index())) {
            return FrameVerdict.DUPLICATE;
        }
        if (!LayerTrace.isComplete(mChain, frame.trace())) {
            return FrameVerdict.WRONG_TRACE;
        }
        if (frame.index() >= mMaxTokens) {
            return FrameVerdict.OUT_OF_RANGE;
        }
        if (bufferedCount() >= mMaxBuffered) {
            return FrameVerdict.OVERFLOW;
        }
        append(frame);
        return FrameVerdict.ACCEPTED;
    }

    /**
     * Removes and returns the next token to emit.
     *
     * @return the token, empty if none is ready
     */
    Optional<TokenFrame> poll() {
        return Optional.ofNullable(mReady.poll());
    }

    /**
     * Returns the index of the next token, which is the number of tokens received without a gap.
     *
     * @return index of the next token
     */
    int nextIndex() {
        return mTexts.size();
    }

    /**
     * Returns whether the requested maximum of tokens was received.
     *
     * @return true if no token can follow
     */
    boolean isComplete() {
        return nextIndex() == mMaxTokens;
    }

    /**
     * Returns the number of buffered tokens: those ready to emit and those after a missing token.
     *
     * @return number of tokens
     */
    int bufferedCount() {
        return mReady.size() + mOutOfOrder.size();
    }

    /**
     * Returns whether a token is ready to emit.
     *
     * @return true if {@link #poll()} would return a token
     */
    boolean hasReady() {
        return !mReady.isEmpty();
    }

    /**
     * Returns the texts of the tokens received without a gap.
     *
     * @return copy, in token order
     */
    List<String> texts() {
        return List.copyOf(mTexts);
    }

    private void append(TokenFrame frame) {
        if (frame.index() != nextIndex()) {
            mOutOfOrder.put(frame.index(), frame);
            return;
        }
        TokenFrame ready = frame;
        while (ready != null) {
            mTexts.add(ready.text());
            mReady.add(ready);
            ready = mOutOfOrder.isEmpty() ? null : mOutOfOrder.remove(nextIndex());
        }
    }
}
