package org.amaranthpick.core.request;

import java.time.Duration;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainFeedback;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.upstream.UpstreamStream;

/** One attempt of a model request. Confined to the request's event queue. */
final class Attempt {
    private static final int TOKENS_PER_REPORT = 32;

    private final int mNumber;
    private final Chain mChain;
    private final Duration mFirstTokenLimit;
    private final ChainFeedback mFeedback;
    private final long mStartedNs;
    private UpstreamStream mStream = new NoStream();
    private Cancellable mWatch = () -> {};
    private long mProgressNs;
    private boolean mFirstTokenSeen;
    private int mTokens;
    private long mToldNs;
    private boolean mEnded;

    Attempt(
            int number,
            Chain chain,
            Duration firstTokenLimit,
            ChainFeedback feedback,
            long startedNs) {
        mNumber = number;
        mChain = chain;
        mFirstTokenLimit = firstTokenLimit;
        mFeedback = feedback;
        mStartedNs = startedNs;
        mProgressNs = startedNs;
    }

    int number() {
        return mNumber;
    }

    Chain chain() {
        return mChain;
    }

    UpstreamStream stream() {
        return mStream;
    }

    void setStream(UpstreamStream stream) {
        mStream = stream;
    }

    boolean hasEnded() {
        return mEnded;
    }

    boolean firstTokenSeen() {
        return mFirstTokenSeen;
    }

    /**
     * Notes that the stage gave a sign of life.
     *
     * @param nowNs monotonic time
     */
    void onProgress(long nowNs) {
        mProgressNs = nowNs;
    }

    /**
     * Notes that a good token came.
     *
     * @param nowNs monotonic time
     */
    void onToken(long nowNs) {
        mProgressNs = nowNs;
        if (!mFirstTokenSeen) {
            mFirstTokenSeen = true;
            mToldNs = nowNs;
            mFeedback.onFirstToken(mChain, Duration.ofNanos(nowNs - mStartedNs));
            return;
        }
        mTokens++;
        if (mTokens == TOKENS_PER_REPORT) {
            mFeedback.onTokens(mChain, mTokens, Duration.ofNanos(nowNs - mToldNs));
            mTokens = 0;
            mToldNs = nowNs;
        }
    }

    /**
     * Returns the silence still allowed.
     *
     * @param nowNs monotonic time
     * @param tokenLimit silence allowed between tokens
     * @return time left; zero or less if the attempt is too long silent
     */
    Duration silenceLeft(long nowNs, Duration tokenLimit) {
        Duration limit = mFirstTokenSeen ? tokenLimit : mFirstTokenLimit;
        return limit.minusNanos(nowNs - mProgressNs);
    }

    /**
     * Replaces the timer that looks for silence.
     *
     * @param watch new timer
     */
    void setWatch(Cancellable watch) {
        mWatch.cancel();
        mWatch = watch;
    }

    /** Ends the attempt; its feedback is told once. */
    void end() {
        mWatch.cancel();
        if (!mEnded) {
            mEnded = true;
            mFeedback.onEnded(mChain);
        }
    }

    /** Stands in until the stream is known. */
    private static final class NoStream implements UpstreamStream {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
