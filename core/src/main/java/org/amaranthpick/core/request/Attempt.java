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
    private final Duration mFirstTokenTimeout;
    private final ChainFeedback mFeedback;
    private final long mStartedNs;
    private UpstreamStream mStream = new NoOpStream();
    private Cancellable mTimeoutTimer = () -> {};
    private long mLastProgressNs;
    private boolean mHasFirstToken;
    private int mUnreportedTokens;
    private long mReportedNs;
    private boolean mEnded;

    Attempt(
            int number,
            Chain chain,
            Duration firstTokenTimeout,
            ChainFeedback feedback,
            long startedNs) {
        mNumber = number;
        mChain = chain;
        mFirstTokenTimeout = firstTokenTimeout;
        mFeedback = feedback;
        mStartedNs = startedNs;
        mLastProgressNs = startedNs;
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

    boolean hasFirstToken() {
        return mHasFirstToken;
    }

    /**
     * Restarts the timeout without a token, for instance after a pause of the caller.
     *
     * @param nowNs monotonic time
     */
    void onProgress(long nowNs) {
        mLastProgressNs = nowNs;
    }

    /**
     * Records an accepted token and reports the chain's speed to the feedback.
     *
     * @param nowNs monotonic time
     */
    void onToken(long nowNs) {
        mLastProgressNs = nowNs;
        if (!mHasFirstToken) {
            mHasFirstToken = true;
            mReportedNs = nowNs;
            mFeedback.onFirstToken(mChain, Duration.ofNanos(nowNs - mStartedNs));
            return;
        }
        mUnreportedTokens++;
        if (mUnreportedTokens == TOKENS_PER_REPORT) {
            mFeedback.onTokens(mChain, mUnreportedTokens, Duration.ofNanos(nowNs - mReportedNs));
            mUnreportedTokens = 0;
            mReportedNs = nowNs;
        }
    }

    /**
     * Returns the time left until the attempt times out.
     *
     * @param nowNs monotonic time
     * @param tokenTimeout longest time between tokens
     * @return time left; zero or less if the attempt has timed out
     */
    Duration timeUntilTimeout(long nowNs, Duration tokenTimeout) {
        Duration timeout = mHasFirstToken ? tokenTimeout : mFirstTokenTimeout;
        return timeout.minusNanos(nowNs - mLastProgressNs);
    }

    /**
     * Replaces the timer that checks the timeout.
     *
     * @param timer new timer
     */
    void setTimeoutTimer(Cancellable timer) {
        mTimeoutTimer.cancel();
        mTimeoutTimer = timer;
    }

    /** Ends the attempt and notifies the feedback once. */
    void end() {
        mTimeoutTimer.cancel();
        if (!mEnded) {
            mEnded = true;
            mFeedback.onEnded(mChain);
        }
    }

    /** Placeholder until the upstream client has returned the stream. */
    private static final class NoOpStream implements UpstreamStream {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
