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

/** Upstreams that answer on virtual time, fail as told, and note what they really ran. */
final class FakeUpstreams implements UpstreamClient {
    static final Duration TOKEN_TIME = Duration.ofMillis(25);
    static final int TOKENS = 6;

    private final Scheduler mScheduler;
    private final List<GenerateCall> mCalls = new ArrayList<>();
    private final List<String> mRuns = new ArrayList<>();
    private final Map<String, List<String>> mPromptRuns = new HashMap<>();
    private final List<Stream> mStreams = new ArrayList<>();

    /** Broken on purpose: tells an attempt that was sent and lost as never sent. */
    boolean mDeniesSending;

    private Function<GenerateCall, Script> mScripts = call -> Script.NONE;
    private Function<ServiceCall, ServiceReply> mService =
            call -> new ServiceReply.Answered(200, Map.of(), new byte[] {'o', 'k'});

    /** Where a fault strikes. */
    enum Step {
        BEFORE_SEND,
        AFTER_SEND,
        FIRST_TOKEN,
        MID_STREAM,
        LAST_TOKEN,
        AFTER_DONE
    }

    /** What goes wrong. */
    enum Fault {
        NONE,
        NOT_SENT,
        REFUSED,
        STAGE_DEATH,
        SILENCE,
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

    void script(Function<GenerateCall, Script> scripts) {
        mScripts = scripts;
    }

    void service(Function<ServiceCall, ServiceReply> service) {
        mService = service;
    }

    List<GenerateCall> calls() {
        return mCalls;
    }

    List<Stream> streams() {
        return mStreams;
    }

    /** Counts the times that anything of a request ran. */
    long runs(String requestId) {
        return mRuns.stream().filter(requestId::equals).count();
    }

    /** Lists the requests with a prompt that ran, once per attempt. */
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
        Stream stream = new Stream(call, listener, mScripts.apply(call));
        mStreams.add(stream);
        var unused = mScheduler.schedule(Duration.ofMillis(1), stream::send);
        return stream;
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        CompletableFuture<ServiceReply> reply = new CompletableFuture<>();
        ServiceReply told = mService.apply(call);
        if (!(told instanceof ServiceReply.NotSent)) {
            mRuns.add(call.requestId());
        }
        var unused = mScheduler.schedule(Duration.ofMillis(5), () -> reply.complete(told));
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

    /** One running attempt. */
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

        private boolean strikes(Step step, Fault... faults) {
            return mScript.step() == step && List.of(faults).contains(mScript.fault());
        }

        private void send() {
            if (mCancelled || strikes(Step.BEFORE_SEND, Fault.NOT_SENT)) {
                mListener.onEnd(new StreamEnd.NotSent(lastStage(), "connection refused"));
                return;
            }
            if (!mDeniesSending) {
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
            if (fails(Step.AFTER_SEND) || fails(Step.BEFORE_SEND)) {
                return;
            }
            later();
        }

        private void later() {
            var unused = mScheduler.schedule(TOKEN_TIME, this::token);
        }

        private Step stepNow() {
            if (mNext == mCall.emitted().size()) {
                return Step.FIRST_TOKEN;
            }
            return mNext == TOKENS - 1 ? Step.LAST_TOKEN : Step.MID_STREAM;
        }

        /** Strikes with the faults that end a stream. */
        private boolean fails(Step step) {
            if (mScript.step() != step) {
                return false;
            }
            if (mScript.fault() == Fault.STAGE_DEATH) {
                mListener.onEnd(
                        mDeniesSending
                                ? new StreamEnd.NotSent(lastStage(), "denied")
                                : new StreamEnd.StageLost(lastStage(), "connection reset"));
                return true;
            }
            if (mScript.fault() == Fault.TRUNCATED) {
                mListener.onEnd(new StreamEnd.Finished("stop", TOKENS));
                return true;
            }
            return mScript.fault() == Fault.SILENCE;
        }

        private void token() {
            if (mCancelled) {
                return;
            }
            if (mPaused) {
                later();
                return;
            }
            if (mNext >= TOKENS) {
                mListener.onEnd(new StreamEnd.Finished("stop", TOKENS));
                afterDone();
                return;
            }
            Step step = stepNow();
            if (!fails(step)) {
                frames(step);
                later();
            }
        }

        private void frames(Step step) {
            Fault fault = mScript.step() == step ? mScript.fault() : Fault.NONE;
            int index = mNext++;
            switch (fault) {
                case LATE_FRAMES -> {
                    mListener.onToken(frame(mCall.requestId(), mCall.attempt() - 1, index));
                    tell(index);
                }
                case DUPLICATE_FRAMES -> {
                    tell(index);
                    tell(index);
                }
                case FOREIGN_FRAMES -> {
                    mListener.onToken(frame("other", mCall.attempt(), index));
                    mListener.onToken(frame(mCall.requestId(), mCall.attempt() + 1, index));
                    tell(index);
                }
                case SWAPPED_FRAMES -> {
                    if (mNext < TOKENS) {
                        tell(mNext++);
                    }
                    tell(index);
                }
                case LOST_FRAME -> {}
                case WRONG_TRACE -> wrongTrace(index);
                default -> tell(index);
            }
        }

        private void wrongTrace(int index) {
            List<LayerRange> wrong = new ArrayList<>(trace());
            wrong.add(0, wrong.get(0));
            String text = text(mCall.requestId(), index);
            mListener.onToken(
                    new TokenFrame(mCall.requestId(), mCall.attempt(), index, text, wrong));
        }

        /** Tells everything once more after the end. */
        private void afterDone() {
            if (mScript.step() == Step.AFTER_DONE && mScript.fault() != Fault.NONE) {
                tell(0);
                tell(TOKENS);
                mListener.onEnd(new StreamEnd.StageLost(lastStage(), "late"));
            }
        }

        private void tell(int index) {
            mListener.onToken(frame(mCall.requestId(), mCall.attempt(), index));
        }

        /** Tells a frame although the stream was cancelled. */
        void tellLate(int index) {
            tell(index);
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
