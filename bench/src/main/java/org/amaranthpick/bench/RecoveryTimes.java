package org.amaranthpick.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamStream;

/**
 * Time from the loss of a stage to the next token, and tokens generated in vain, on virtual time. A
 * resumed attempt gives its first token after the time that the replay is taken to need.
 */
public final class RecoveryTimes {
    private static final int REQUESTS = 2_000;
    private static final int TOKENS = 358;
    private static final Duration TOKEN_TIME = Duration.ofMillis(25);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(400);
    private static final Duration REPLAY = Duration.ofMillis(300);
    private static final Duration TOLD_AFTER = Duration.ofMillis(5);
    private static final int SPREAD_MS = 5_000;

    private final boolean mSilent;
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final Histogram mDetectionMs = new Histogram(3);
    private final Histogram mResumptionMs = new Histogram(3);
    private final RequestBench mBench =
            new RequestBench(mScheduler, new BenchUpstreams(this::generate));
    private final Map<String, Long> mDiedNs = new HashMap<>();
    private long mGenerated;
    private long mEmitted;
    private int mWhole;

    private RecoveryTimes(boolean silent) {
        mSilent = silent;
    }

    /**
     * Prints a table.
     *
     * @param args none
     */
    public static void main(String[] args) {
        System.out.println(
                "loss is     ms to next attempt p50/p99/max  ms from there to token p50/p99/max"
                        + "  wasted tokens  whole answers");
        for (boolean silent : new boolean[] {false, true}) {
            new RecoveryTimes(silent).run();
        }
    }

    private void run() {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            Duration start = Duration.ofMillis(mRandom.nextInt(SPREAD_MS));
            var unused = mScheduler.schedule(start, () -> submit(id));
        }
        mScheduler.advance(Duration.ofMinutes(2));
        System.out.printf(
                Locale.ROOT,
                "%-10s  %s  %s  %d of %d (%.2f%%)  %d of %d%n",
                mSilent ? "silent" : "told",
                text(mDetectionMs),
                text(mResumptionMs),
                mGenerated - mEmitted,
                mGenerated,
                100.0 * (mGenerated - mEmitted) / mGenerated,
                mWhole,
                REQUESTS);
    }

    private static long toMs(long timeNs) {
        return Duration.ofNanos(timeNs).toMillis();
    }

    private static String text(Histogram histogram) {
        return histogram.getValueAtPercentile(50)
                + " / "
                + histogram.getValueAtPercentile(99)
                + " / "
                + histogram.getMaxValue();
    }

    private void submit(String id) {
        mBench.mRouter.submit(mBench.request(id, "prompt", TOKENS), new Sink());
    }

    private UpstreamStream generate(GenerateCall call, TokenListener listener) {
        Stream stream = new Stream(call, listener);
        if (call.attempt() > 1) {
            long diedNs = mDiedNs.get(call.requestId());
            mDetectionMs.recordValue(toMs(mScheduler.monotonicNs() - diedNs));
        }
        listener.onSending();
        Duration first = call.attempt() == 1 ? FIRST_TOKEN : REPLAY;
        var unused = mScheduler.schedule(first, stream::token);
        return stream;
    }

    /** One attempt; the first one of each request loses its stage at a random token. */
    private final class Stream implements UpstreamStream {
        private final GenerateCall mCall;
        private final TokenListener mListener;
        private final List<LayerRange> mTrace;
        private final int mDiesAt;
        private int mNext;
        private final long mSentNs = mScheduler.monotonicNs();
        private boolean mCancelled;

        Stream(GenerateCall call, TokenListener listener) {
            mCall = call;
            mListener = listener;
            mTrace = RequestBench.trace(call.chain());
            mNext = call.emitted().size();
            mDiesAt = call.attempt() == 1 ? mRandom.nextInt(TOKENS) : TOKENS + 1;
        }

        private void token() {
            if (mCancelled) {
                return;
            }
            if (mNext == mDiesAt) {
                die();
                return;
            }
            if (mNext == TOKENS) {
                mListener.onEnd(new StreamEnd.Finished("length", TOKENS));
                return;
            }
            mGenerated++;
            if (mCall.attempt() > 1 && mNext == mCall.emitted().size()) {
                mResumptionMs.recordValue(toMs(mScheduler.monotonicNs() - mSentNs));
            }
            mListener.onToken(
                    new TokenFrame(mCall.requestId(), mCall.attempt(), mNext++, "t", mTrace));
            var unused = mScheduler.schedule(TOKEN_TIME, this::token);
        }

        /** The stage dies; the stages before it have worked on one more token by then. */
        private void die() {
            mGenerated++;
            mDiedNs.put(mCall.requestId(), mScheduler.monotonicNs());
            if (!mSilent) {
                var lost =
                        new StreamEnd.StageLost(
                                mCall.chain().hops().get(2).upstream(), "connection reset");
                var unused = mScheduler.schedule(TOLD_AFTER, () -> mListener.onEnd(lost));
            }
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {
            mCancelled = true;
        }
    }

    /** Counts the tokens of one answer. */
    private final class Sink implements AnswerSink {
        private int mTokens;

        @Override
        public void onToken(int index, String text) {
            mTokens++;
            mEmitted++;
        }

        @Override
        public void onOutcome(Outcome outcome) {
            if (outcome instanceof Outcome.Answered && mTokens == TOKENS) {
                mWhole++;
            }
        }
    }
}
