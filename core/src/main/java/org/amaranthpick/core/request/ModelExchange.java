package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.admit.AdmissionRequest;
import org.amaranthpick.core.claim.ClaimAnswer;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Chain;
import org.amaranthpick.core.route.ChainDecision;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;

/** State machine of one model request. */
final class ModelExchange extends Exchange {
    /** Finish reason of an answer that reached the requested maximum of tokens. */
    private static final String LENGTH_REACHED = "length";

    private final ModelRequest mRequest;
    private final ModelRequestMapper mMapper;
    private final TimeoutExclusion mTimeoutExclusion = new TimeoutExclusion();
    private final TokenSequencer mSequencer;
    private final List<String> mPromptParts;
    private final AttemptEvents mEvents = new AttemptEventHandler();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<Chain> mPreviousChain = Optional.empty();
    private Optional<StreamEnd.Finished> mFinished = Optional.empty();
    private AnswerSink mSink;
    private Cancellable mPauseTimer = () -> {};
    private int mEmittedTokens;
    private volatile boolean mPaused;

    ModelExchange(
            ExchangeContext context,
            ModelRequest request,
            ModelVersionSpec model,
            AnswerSink sink) {
        super(context, RequestMetadata.of(request));
        mRequest = request;
        mSink = sink;
        mMapper =
                new ModelRequestMapper(
                        request, model, context.dependencies().promptAnalyzer().analyze(request));
        mPromptParts = CrashingPrompts.parts(mMapper.prompt().prefixHashes());
        mSequencer =
                new TokenSequencer(
                        request.requestId(),
                        request.maxTokens(),
                        context.settings().maxBufferedTokens());
    }

    @Override
    public void pause() {
        mPaused = true;
        post(this::onPause);
    }

    @Override
    public void resume() {
        mPaused = false;
        post(this::onResume);
    }

    @Override
    AdmissionRequest admissionRequest() {
        return mMapper.admissionRequest();
    }

    @Override
    String bodyDigest() {
        return BodyDigest.of(mRequest);
    }

    @Override
    void startAttempt() {
        Optional<Duration> quarantine = crashingPrompts().timeLeft(mPromptParts);
        if (quarantine.isPresent()) {
            giveUp(
                    RefusalReason.UPSTREAM_REFUSED,
                    "engines were lost under the beginning of this prompt",
                    quarantine);
            return;
        }
        ChainDecision decision =
                dependencies()
                        .chainChooser()
                        .choose(
                                mMapper.chainRequest(
                                        mSequencer.nextIndex(),
                                        excluded(),
                                        mPreviousChain,
                                        timeLeft()));
        if (decision instanceof ChainDecision.Chosen chosen) {
            record(DecisionKind.CHAIN, describe(chosen));
            send(chosen);
        } else if (decision instanceof ChainDecision.NoChain none) {
            excluded().clear();
            onNoChain(none);
        }
    }

    /**
     * Waits for capacity if tokens were already emitted, since the caller would lose a partial
     * answer. A request without tokens only uses its retries.
     */
    private void onNoChain(ChainDecision.NoChain none) {
        boolean partiallyEmitted = tokensEmitted() > 0 && isIdempotent();
        if (partiallyEmitted && waitForCapacity(none.reason())) {
            return;
        }
        record(DecisionKind.CHAIN, "none: " + none.reason());
        retryOrGiveUp(none.reason(), none.retryAfter(), RefusalReason.NO_CAPACITY);
    }

    @Override
    void stopAttempt() {
        mAttempt.ifPresent(attempt -> endAttempt(attempt, AttemptHistory.State.LOST));
    }

    @Override
    void deliver(Outcome outcome) {
        mPauseTimer.cancel();
        mSink.onOutcome(outcome);
    }

    @Override
    void detachCaller(Outcome outcome) {
        AnswerSink caller = mSink;
        mSink = new DiscardingSink();
        mPaused = false;
        onResume();
        caller.onOutcome(outcome);
    }

    @Override
    void deliverStored(ClaimAnswer answer) {
        mSink.onOutcome(new Outcome.Replayed(answer.body(), answer.contentType()));
    }

    @Override
    Optional<ClaimAnswer> storableAnswer() {
        if (mFinished.isEmpty()) {
            return Optional.empty();
        }
        String text = String.join("", mSequencer.texts());
        String reason = mFinished.get().reason();
        return BodyDigest.fitsInBytes(text, settings().maxStoredAnswerBytes())
                ? Optional.of(new ClaimAnswer(200, reason, text))
                : Optional.empty();
    }

    @Override
    int tokensUsed() {
        return history().mayHaveRun() ? mMapper.prompt().tokens() + mSequencer.nextIndex() : 0;
    }

    @Override
    int tokensEmitted() {
        return mEmittedTokens;
    }

    private void send(ChainDecision.Chosen chosen) {
        int number = beginAttempt();
        Chain chain = chosen.chain();
        long nowNs = dependencies().scheduler().monotonicNs();
        Duration timeout = firstTokenTimeout(chosen.predictedFirstToken());
        Attempt attempt =
                new Attempt(number, chain, timeout, dependencies().chainFeedback(), nowNs);
        mAttempt = Optional.of(attempt);
        mPreviousChain = Optional.of(chain);
        mSequencer.startAttempt(number, chain);
        record(
                DecisionKind.ATTEMPT,
                "attempt " + number + " starts at token " + mSequencer.nextIndex());
        dependencies()
                .chainFeedback()
                .onSent(chain, mMapper.prompt().tokens() + mSequencer.nextIndex());
        attempt.setStream(
                dependencies()
                        .upstreamClient()
                        .generate(
                                mRequest.configuration(),
                                mMapper.generateCall(number, chain, mSequencer, timeLeft()),
                                new AttemptListener(attempt, mEvents, this::post)));
        if (mPaused) {
            attempt.stream().pause();
        }
        checkTimeout(attempt);
    }

    private boolean isCurrent(Attempt attempt) {
        return isRunning() && !attempt.hasEnded() && mAttempt.filter(a -> a == attempt).isPresent();
    }

    private void onFrame(Attempt attempt, TokenFrame frame) {
        FrameVerdict verdict =
                isCurrent(attempt) && mFinished.isEmpty()
                        ? mSequencer.accept(attempt.number(), frame)
                        : FrameVerdict.LATE;
        frameCounters().count(verdict);
        if (verdict == FrameVerdict.ACCEPTED) {
            boolean first = !attempt.hasFirstToken();
            attempt.onToken(dependencies().scheduler().monotonicNs());
            if (first) {
                checkTimeout(attempt);
            }
            emitReady();
        } else if (verdict == FrameVerdict.WRONG_TRACE) {
            Identity stage = LayerTrace.faultyStage(attempt.chain(), frame.trace());
            fail(attempt, stage, "layers ran in the order " + frame.trace());
        } else if (verdict == FrameVerdict.OUT_OF_RANGE) {
            fail(
                    attempt,
                    firstStage(attempt),
                    "token " + frame.index() + " exceeds the requested maximum");
        } else if (verdict == FrameVerdict.OVERFLOW) {
            onOverflow(attempt);
        }
    }

    private void onOverflow(Attempt attempt) {
        if (mPaused) {
            giveUp(RefusalReason.CANCELLED, "the caller reads too slowly", Optional.empty());
        } else {
            fail(attempt, firstStage(attempt), "token " + mSequencer.nextIndex() + " is missing");
        }
    }

    private void emitReady() {
        while (!mPaused && !hasEnded() && mSequencer.hasReady()) {
            emit(mSequencer.poll().orElseThrow());
        }
        if (mFinished.isPresent() && !hasEnded() && !mSequencer.hasReady()) {
            finish(
                    new Outcome.Answered(
                            mFinished.get().reason(),
                            mMapper.prompt().tokens(),
                            mSequencer.nextIndex()));
        }
    }

    private void emit(TokenFrame frame) {
        boolean owned = frame.requestId().equals(mRequest.requestId());
        boolean inOrder = frame.index() == mEmittedTokens;
        dependencies().invariants().check(Invariant.ANSWER_OWNER, owned, "%s", frame);
        dependencies().invariants().check(Invariant.TOKEN_SEQUENCE, inOrder, "%s", frame);
        boolean complete = LayerTrace.isComplete(mPreviousChain.orElseThrow(), frame.trace());
        dependencies().invariants().check(Invariant.LAYERS_ONCE_IN_ORDER, complete, "%s", frame);
        mEmittedTokens++;
        mSink.onToken(frame.index(), frame.text());
    }

    private void onEnd(Attempt attempt, StreamEnd end) {
        if (!isCurrent(attempt) || mFinished.isPresent()) {
            return;
        }
        if (end instanceof StreamEnd.Finished finished) {
            onFinished(attempt, finished);
        } else if (end instanceof StreamEnd.Refused refused) {
            onRefused(attempt, refused);
        } else if (end instanceof StreamEnd.NotSent notSent) {
            boolean neverSent =
                    history().state(attempt.number()) == AttemptHistory.State.STARTED
                            && !attempt.hasFirstToken();
            endAttempt(
                    attempt, neverSent ? AttemptHistory.State.NOT_SENT : AttemptHistory.State.LOST);
            dependencies().chainFeedback().onFailure(notSent.upstream(), notSent.reason());
            retryWithout(notSent.upstream(), "not sent: " + notSent.reason(), Optional.empty());
        } else if (end instanceof StreamEnd.StageLost lost) {
            if (!attempt.hasFirstToken()) {
                crashingPrompts().onStageLost(lost.upstream(), mPromptParts);
            }
            fail(attempt, lost.upstream(), lost.reason());
        }
    }

    private void onFinished(Attempt attempt, StreamEnd.Finished finished) {
        boolean complete = finished.tokens() == mSequencer.nextIndex();
        if (!complete) {
            String counts =
                    finished.tokens()
                            + " tokens announced, "
                            + mSequencer.nextIndex()
                            + " received";
            fail(attempt, firstStage(attempt), "answer is incomplete: " + counts);
            return;
        }
        complete(attempt, finished);
    }

    private void complete(Attempt attempt, StreamEnd.Finished finished) {
        history().setState(attempt.number(), AttemptHistory.State.FINISHED);
        crashingPrompts().onAnswered(mPromptParts);
        attempt.end();
        mFinished = Optional.of(finished);
        emitReady();
    }

    private void onRefused(Attempt attempt, StreamEnd.Refused refused) {
        boolean notRun = !attempt.hasFirstToken();
        endAttempt(attempt, notRun ? AttemptHistory.State.REFUSED : AttemptHistory.State.LOST);
        String reason = "refused by " + refused.upstream() + ": " + refused.reason();
        retryWithout(refused.upstream(), reason, refused.retryAfter());
    }

    private void fail(Attempt attempt, Identity stage, String reason) {
        dependencies().chainFeedback().onFailure(stage, reason);
        if (mSequencer.isComplete()) {
            record(
                    DecisionKind.ATTEMPT,
                    "all tokens were received before the stage failed: " + reason);
            attempt.stream().cancel();
            complete(attempt, new StreamEnd.Finished(LENGTH_REACHED, mSequencer.nextIndex()));
            return;
        }
        endAttempt(attempt, AttemptHistory.State.LOST);
        retryWithout(stage, "stage " + stage + " failed: " + reason, Optional.empty());
    }

    private void retryWithout(Identity stage, String reason, Optional<Duration> retryAfter) {
        excluded().add(stage);
        retryOrGiveUp(reason, retryAfter, RefusalReason.UPSTREAM_REFUSED);
    }

    private void endAttempt(Attempt attempt, AttemptHistory.State state) {
        if (attempt.hasEnded()) {
            return;
        }
        history().setState(attempt.number(), state);
        attempt.end();
        attempt.stream().cancel();
        record(DecisionKind.ATTEMPT, "attempt " + attempt.number() + " ended: " + state);
    }

    private Duration firstTokenTimeout(Duration predicted) {
        Duration timeout =
                settings()
                        .firstTokenGrace()
                        .plus(predicted.multipliedBy(settings().predictionFactor()));
        return scaleTimeout(timeout);
    }

    /**
     * Lengthens the timeout of a request that has low priority or cannot be retried. Engines may
     * run streams of high priority first, so that those of low priority make no progress meanwhile.
     */
    private Duration scaleTimeout(Duration timeout) {
        boolean shortTimeout =
                isIdempotent() && mRequest.priority() >= settings().shortTimeoutMinPriority();
        return shortTimeout ? timeout : timeout.multipliedBy(settings().longTimeoutFactor());
    }

    private void checkTimeout(Attempt attempt) {
        if (!isCurrent(attempt) || mFinished.isPresent()) {
            return;
        }
        long nowNs = dependencies().scheduler().monotonicNs();
        if (mPaused) {
            attempt.onProgress(nowNs);
        }
        Duration left = attempt.timeUntilTimeout(nowNs, scaleTimeout(settings().tokenTimeout()));
        if (left.isNegative() || left.isZero()) {
            onTimeout(attempt);
            return;
        }
        attempt.setTimeoutTimer(
                dependencies().scheduler().schedule(left, () -> post(() -> checkTimeout(attempt))));
    }

    private void onTimeout(Attempt attempt) {
        excluded().addAll(mTimeoutExclusion.stagesToExclude(attempt.chain()));
        fail(attempt, firstStage(attempt), "silent");
    }

    private void onPause() {
        if (hasEnded() || !mPaused) {
            return;
        }
        mAttempt.filter(this::isCurrent).ifPresent(attempt -> attempt.stream().pause());
        mPauseTimer.cancel();
        mPauseTimer =
                dependencies()
                        .scheduler()
                        .schedule(settings().maxCallerPause(), () -> post(this::onPauseTimeout));
    }

    private void onResume() {
        if (hasEnded() || mPaused) {
            return;
        }
        mPauseTimer.cancel();
        long nowNs = dependencies().scheduler().monotonicNs();
        mAttempt.filter(this::isCurrent)
                .ifPresent(
                        attempt -> {
                            attempt.onProgress(nowNs);
                            attempt.stream().resume();
                        });
        emitReady();
    }

    private void onPauseTimeout() {
        if (mPaused) {
            giveUp(RefusalReason.CANCELLED, "the caller paused for too long", Optional.empty());
        }
    }

    private static Identity firstStage(Attempt attempt) {
        return attempt.chain().hops().get(0).upstream();
    }

    private static String describe(ChainDecision.Chosen chosen) {
        StringBuilder text = new StringBuilder("chosen");
        for (Hop hop : chosen.chain().hops()) {
            text.append(' ').append(hop.upstream().qualifiedName());
            text.append('[').append(hop.layers()).append(']');
        }
        text.append(", first token predicted in ");
        text.append(chosen.predictedFirstToken().toMillis()).append(" ms, from ");
        return text.append(chosen.candidates().size()).append(" candidates").toString();
    }

    /** Handles the events of the attempts on the event queue. */
    private final class AttemptEventHandler implements AttemptEvents {
        @Override
        public void onSending(Attempt attempt) {
            if (!attempt.hasEnded()) {
                history().setState(attempt.number(), AttemptHistory.State.SENDING);
            }
        }

        @Override
        public void onToken(Attempt attempt, TokenFrame frame) {
            onFrame(attempt, frame);
        }

        @Override
        public void onEnd(Attempt attempt, StreamEnd end) {
            ModelExchange.this.onEnd(attempt, end);
        }
    }
}
