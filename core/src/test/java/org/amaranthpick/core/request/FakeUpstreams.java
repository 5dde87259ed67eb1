package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;

/** Upstreams that answer on virtual time, inject scripted faults and record what ran. */
final class FakeUpstreams implements UpstreamClient {
    static final Duration TOKEN_TIME = Duration.ofMillis(25);
    static final int TOKENS = 6;

    private final Scheduler mScheduler;
    private final List<GenerateCall> mCalls = new ArrayList<>();
    private final List<String> mRuns = new ArrayList<>();
    private final Map<String, List<String>> mPromptRuns = new HashMap<>();
    private final List<Stream> mStreams = new ArrayList<>();

    /** Deliberately faulty: reports an attempt that was sent and lost as never sent. */
    boolean mReportsSentAsNotSent;

    private Function<GenerateCall, Script> mScriptByCall = call -> Script.NONE;
    private Function<ServiceCall, ServiceReply> mServiceReply =
            call -> new ServiceReply.Answered(200, Map.of(), new byte[] {'o', 'k'});

    /** Step at which a fault is injected. */
    enum Step {
        BEFORE_SEND,
        AFTER_SEND,
        FIRST_TOKEN,
        MID_STREAM,
        LAST_TOKEN,
        AFTER_DONE
    }

    /** Injected fault. */
    enum Fault {
        NONE,
        NOT_SENT,
        REFUSED,
        STAGE_FAILURE,
        NO_PROGRESS,
        LATE_FRAMES,
        DUPLICATE_FRAMES,
        FOREIGN_FRAMES,
        SWAPPED_FRAMES,
        LOST_FRAME,
        WRONG_TRACE,
        TRUNCATED
    }

    record Script(Step step, Fault fault) {
        static final Script NONE = new Script(Step.AFTER_DONE, Fault.NONE);
    }

    FakeUpstreams(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void setScript(Function<GenerateCall, Script> scriptByCall) {
        mScriptByCall = scriptByCall;
    }

    void setServiceReply(Function<ServiceCall, ServiceReply> reply) {
        mServiceReply = reply;
    }

    List<GenerateCall> calls() {
        return mCalls;
    }

    List<Stream> streams() {
        return mStreams;
    }

    /** Returns the number of attempts of a request that ran. */
    long runs(String requestId) {
        return mRuns.stream().filter(requestId::equals).count();
    }

    /** Returns the ids of the requests with a prompt that ran, one entry per attempt. */
    List<String> runsOfPrompt(String prompt) {
        return mPromptRuns.getOrDefault(prompt, List.of());
    }

    static String text(String requestId, int index) {
        return requestId + ":" + index + " ";
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        mCalls.add(call);
        Stream stream = new Stream(call, listener, mScriptByCall.apply(call));
        mStreams.add(stream);
        var unused = mScheduler.schedule(Duration.ofMillis(1), stream::send);
        return stream;
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
        ServiceReply result = mServiceReply.apply(call);
        if (!(result instanceof ServiceReply.NotSent)) {
            mRuns.add(call.requestId());
        }
        var unused = mScheduler.schedule(Duration.ofMillis(5), () -> reply.complete(result));
        return reply;
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        return CompletableFuture.completedFuture(new OrderReply.Unknown("none"));
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        return () -> {};
    }

    @Override
    public void close() {}

    /** Stream of one attempt. */
    final class Stream implements UpstreamStream {
        private final GenerateCall mCall;
        private final TokenListener mListener;
        private final Script mScript;
        private int mNext;
        private boolean mCancelled;
        private boolean mPaused;

        Stream(GenerateCall call, TokenListener listener, Script script) {
            mCall = call;
            mListener = listener;
            mScript = script;
            mNext = call.emitted().size();
        }

        boolean isCancelled() {
            return mCancelled;
        }

        boolean isPaused() {
            return mPaused;
        }

        private Identity lastStage() {
            List<Hop> hops = mCall.chain().hops();
            return hops.get(hops.size() - 1).upstream();
        }

        private boolean injects(Step step, Fault... faults) {
            return mScript.step() == step && List.of(faults).contains(mScript.fault());
        }

        private void send() {
            if (mCancelled || injects(Step.BEFORE_SEND, Fault.NOT_SENT)) {
                mListener.onEnd(new StreamEnd.NotSent(lastStage(), "connection refused"));
                return;
            }
            if (!mReportsSentAsNotSent) {
                mListener.onSending();
            }
            if (mScript.fault() == Fault.REFUSED) {
                mListener.onEnd(new StreamEnd.Refused(lastStage(), "full", Optional.empty()));
                return;
            }
            mRuns.add(mCall.requestId());
            mPromptRuns
                    .computeIfAbsent(mCall.prompt(), p -> new ArrayList<>())
                    .add(mCall.requestId());
            if (endsStream(Step.AFTER_SEND) || endsStream(Step.BEFORE_SEND)) {
                return;
            }
            scheduleNextToken();
        }

        private void scheduleNextToken() {
            var unused = mScheduler.schedule(TOKEN_TIME, this::onTokenDue);
        }

        private Step currentStep() {
            if (mNext == mCall.emitted().size()) {
                return Step.FIRST_TOKEN;
            }
            return mNext == TOKENS - 1 ? Step.LAST_TOKEN : Step.MID_STREAM;
        }

        /** Injects a fault that ends the stream; returns false if none is scripted for the step. */
        private boolean endsStream(Step step) {
            if (mScript.step() != step) {
                return false;
            }
            if (mScript.fault() == Fault.STAGE_FAILURE) {
                mListener.onEnd(
                        mReportsSentAsNotSent
                                ? new StreamEnd.NotSent(lastStage(), "reported as not sent")
                                : new StreamEnd.StageLost(lastStage(), "connection reset"));
                return true;
            }
            if (mScript.fault() == Fault.TRUNCATED) {
                mListener.onEnd(new StreamEnd.Finished("stop", TOKENS));
                return true;
            }
            return mScript.fault() == Fault.NO_PROGRESS;
        }

        private void onTokenDue() {
            if (mCancelled) {
                return;
            }
            if (mPaused) {
                scheduleNextToken();
                return;
            }
            if (mNext >= TOKENS) {
                mListener.onEnd(new StreamEnd.Finished("stop", TOKENS));
                deliverAfterEnd();
                return;
            }
            Step step = currentStep();
            if (!endsStream(step)) {
                deliverFrames(step);
                scheduleNextToken();
            }
        }

        private void deliverFrames(Step step) {
            Fault fault = mScript.step() == step ? mScript.fault() : Fault.NONE;
            int index = mNext++;
            switch (fault) {
                case LATE_FRAMES -> {
                    mListener.onToken(frame(mCall.requestId(), mCall.attempt() - 1, index));
                    deliver(index);
                }
                case DUPLICATE_FRAMES -> {
                    deliver(index);
                    deliver(index);
                }
                case FOREIGN_FRAMES -> {
                    mListener.onToken(frame("other", mCall.attempt(), index));
                    mListener.onToken(frame(mCall.requestId(), mCall.attempt() + 1, index));
                    deliver(index);
                }
                case SWAPPED_FRAMES -> {
                    if (mNext < TOKENS) {
                        deliver(mNext++);
                    }
                    deliver(index);
                }
                case LOST_FRAME -> {}
                case WRONG_TRACE -> deliverWrongTrace(index);
                default -> deliver(index);
            }
        }

        private void deliverWrongTrace(int index) {
            List<LayerRange> wrongTrace = new ArrayList<>(trace());
            wrongTrace.add(0, wrongTrace.get(0));
            String text = text(mCall.requestId(), index);
            mListener.onToken(
                    new TokenFrame(mCall.requestId(), mCall.attempt(), index, text, wrongTrace));
        }

        /** Delivers tokens and another end after the end of the stream. */
        private void deliverAfterEnd() {
            if (mScript.step() == Step.AFTER_DONE && mScript.fault() != Fault.NONE) {
                deliver(0);
                deliver(TOKENS);
                mListener.onEnd(new StreamEnd.StageLost(lastStage(), "late"));
            }
        }

        private void deliver(int index) {
            mListener.onToken(frame(mCall.requestId(), mCall.attempt(), index));
        }

        /** Delivers a frame although the stream was cancelled. */
        void deliverLate(int index) {
            deliver(index);
        }

        private TokenFrame frame(String requestId, int attempt, int index) {
            return new TokenFrame(requestId, attempt, index, text(requestId, index), trace());
        }

        private List<LayerRange> trace() {
            return mCall.chain().hops().stream().map(Hop::layers).toList();
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }
    }
}
