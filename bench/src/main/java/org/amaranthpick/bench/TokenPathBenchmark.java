package org.amaranthpick.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.request.AnswerSink;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Cost of one whole request in the router: state machine, sequencer, trace check. The slope over
 * the tokens is the cost of a token; the rest is the cost of a request.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class TokenPathBenchmark {
    private static final String PROMPT = "a prompt of forty characters, repeated. ".repeat(50);

    /** Tokens of the answer. */
    @Param({"1", "358", "1074"})
    public int tokens;

    private VirtualScheduler mScheduler;
    private RequestBench mBench;
    private long mRequests;
    private int mTold;

    /** Builds the router. */
    @Setup
    public void build() {
        mScheduler = new VirtualScheduler(Instant.EPOCH);
        mBench = new RequestBench(mScheduler, new BenchUpstreams(this::generate));
    }

    /**
     * Runs one request.
     *
     * @return tokens told
     */
    @Benchmark
    public int request() {
        mTold = 0;
        mBench.mRouter.submit(
                mBench.request("r" + mRequests++, PROMPT, tokens), new CountingSink());
        mScheduler.advance(Duration.ofSeconds(10));
        return mTold;
    }

    private UpstreamStream generate(GenerateCall call, TokenListener listener) {
        List<LayerRange> trace = RequestBench.trace(call.chain());
        listener.onSending();
        for (int i = 0; i < tokens; i++) {
            listener.onToken(new TokenFrame(call.requestId(), call.attempt(), i, "token", trace));
        }
        listener.onEnd(new StreamEnd.Finished("length", tokens));
        return new BenchUpstreams.NoStream();
    }

    /** Counts tokens. */
    private final class CountingSink implements AnswerSink {
        @Override
        public void onToken(int index, String text) {
            mTold++;
        }

        @Override
        public void onOutcome(Outcome outcome) {}
    }
}
