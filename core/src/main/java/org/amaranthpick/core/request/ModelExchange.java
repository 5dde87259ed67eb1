package org.amaranthpick.core.request;

import java.time.Duration;
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

/** Life of one model request. */
final class ModelExchange extends Exchange {
    /** Finish reason of an answer that has all the tokens asked for. */
    private static final String FULL = "length";

    private final CallerRequest mRequest;
    private final ModelCalls mCalls;
    private final SilenceBlame mBlame = new SilenceBlame();
    private final TokenSequencer mSequencer;
    private final AttemptEvents mEvents = new Events();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<Chain> mPreviousChain = Optional.empty();
    private Optional<StreamEnd.Finished> mFinished = Optional.empty();
    private AnswerSink mSink;
    private Cancellable mStallTimer = () -> {};
    private int mEmitted;
    private volatile boolean mPaused;

    ModelExchange(
            ExchangeOwner owner, CallerRequest request, ModelVersionSpec model, AnswerSink sink) {
        super(owner, ExchangeTerms.of(request));
        mRequest = request;
        mSink = sink;
        mCalls = new ModelCalls(request, model, owner.parts().prompts().analyze(request));
        mSequencer =
                new TokenSequencer(
                        request.requestId(),
                        request.maxTokens(),
                        owner.settings().maxBufferedTokens());
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
        return mCalls.admission();
    }

    @Override
    String bodyDigest() {
        return BodyDigest.of(mRequest);
    }

    @Override
    void startAttempt() {
        ChainDecision decision =
                parts().chooser()
                        .choose(
                                mCalls.chain(
                                        mSequencer.next(), excluded(), mPreviousChain, timeLeft()));
        if (decision instanceof ChainDecision.Chosen chosen) {
            record(DecisionKind.CHAIN, describe(chosen));
            send(chosen);
        } else if (decision instanceof ChainDecision.NoChain none) {
            excluded().clear();
            onNoChain(none);
        }
    }

    /** An answer half given waits for a chain; a request that has told nothing is refused soon. */
    private void onNoChain(ChainDecision.NoChain none) {
        boolean halfGiven = tokensEmitted() > 0 && mayRepeat();
        if (halfGiven && lookAgain(none.reason())) {
            return;
        }
        record(DecisionKind.CHAIN, "none: " + none.reason());
        retryOrGiveUp(none.reason(), none.retryAfter(), RefusalReason.NO_CAPACITY);
    }

    @Override
    void stopAttempt() {
        mAttempt.ifPresent(attempt -> close(attempt, AttemptHistory.Fate.LOST));
    }

    @Override
    void deliver(Outcome outcome) {
        mStallTimer.cancel();
        mSink.onOutcome(outcome);
    }

    @Override
    void detachCaller(Outcome outcome) {
        AnswerSink caller = mSink;
        mSink = new NoCaller();
        mPaused = false;
        onResume();
        caller.onOutcome(outcome);
    }

    @Override
    void deliverKept(ClaimAnswer answer) {
        mSink.onOutcome(new Outcome.Replayed(answer.body(), answer.contentType()));
    }

    @Override
    Optional<ClaimAnswer> answerToKeep() {
        if (mFinished.isEmpty()) {
            return Optional.empty();
        }
        String text = String.join("", mSequencer.texts());
        String reason = mFinished.get().reason();
        return BodyDigest.isShort(text, settings().maxKeptAnswerBytes())
                ? Optional.of(new ClaimAnswer(200, reason, text))
                : Optional.empty();
    }

    @Override
    int tokensUsed() {
        return history().mayHaveRun() ? mCalls.prompt().tokens() + mSequencer.next() : 0;
    }

    @Override
    int tokensEmitted() {
        return mEmitted;
    }

    private void send(ChainDecision.Chosen chosen) {
        int number = beginAttempt();
        Chain chain = chosen.chain();
        long nowNs = parts().scheduler().monotonicNs();
        Duration limit = firstTokenLimit(chosen.predictedFirstToken());
        Attempt attempt = new Attempt(number, chain, limit, parts().feedback(), nowNs);
        mAttempt = Optional.of(attempt);
        mPreviousChain = Optional.of(chain);
        mSequencer.begin(number, chain);
        record(DecisionKind.ATTEMPT, "attempt " + number + " starts at token " + mSequencer.next());
        parts().feedback().onSent(chain, mCalls.prompt().tokens() + mSequencer.next());
        attempt.setStream(
                parts().upstreams()
                        .generate(
                                mRequest.configuration(),
                                mCalls.generate(number, chain, mSequencer, timeLeft()),
                                new AttemptListener(attempt, mEvents, this::post)));
        if (mPaused) {
            attempt.stream().pause();
        }
        watch(attempt);
    }

    private boolean isCurrent(Attempt attempt) {
        return isRunning() && !attempt.hasEnded() && mAttempt.filter(a -> a == attempt).isPresent();
    }

    private void onFrame(Attempt attempt, TokenFrame frame) {
        FrameVerdict verdict =
                isCurrent(attempt) && mFinished.isEmpty()
                        ? mSequencer.accept(attempt.number(), frame)
                        : FrameVerdict.LATE;
        frames().count(verdict);
        if (verdict == FrameVerdict.ACCEPTED) {
            boolean first = !attempt.firstTokenSeen();
            attempt.onToken(parts().scheduler().monotonicNs());
            if (first) {
                watch(attempt);
            }
            emitReady();
        } else if (verdict == FrameVerdict.WRONG_TRACE) {
            Identity stage = LayerTrace.faultyStage(attempt.chain(), frame.trace());
            fail(attempt, stage, "layers ran as " + frame.trace());
        } else if (verdict == FrameVerdict.OUT_OF_RANGE) {
            fail(attempt, firstStage(attempt), "token " + frame.index() + " is out of range");
        } else if (verdict == FrameVerdict.OVERFLOW) {
            onOverflow(attempt);
        }
    }

    private void onOverflow(Attempt attempt) {
        if (mPaused) {
            giveUp(RefusalReason.CANCELLED, "the caller reads too slowly", Optional.empty());
        } else {
            fail(attempt, firstStage(attempt), "token " + mSequencer.next() + " is missing");
        }
    }

    private void emitReady() {
        while (!mPaused && !hasEnded() && mSequencer.hasReady()) {
            emit(mSequencer.poll().orElseThrow());
        }
        if (mFinished.isPresent() && !hasEnded() && !mSequencer.hasReady()) {
            finish(
                    new Outcome.Answered(
                            mFinished.get().reason(), mCalls.prompt().tokens(), mSequencer.next()));
        }
    }

    private void emit(TokenFrame frame) {
        boolean owned = frame.requestId().equals(mRequest.requestId());
        boolean inOrder = frame.index() == mEmitted;
        parts().invariants().check(Invariant.ANSWER_OWNER, owned, "%s", frame);
        parts().invariants().check(Invariant.TOKEN_SEQUENCE, inOrder, "%s", frame);
        boolean whole = LayerTrace.isWhole(mPreviousChain.orElseThrow(), frame.trace());
        parts().invariants().check(Invariant.LAYERS_ONCE_IN_ORDER, whole, "%s", frame);
        mEmitted++;
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
            boolean trueWord =
                    history().get(attempt.number()) == AttemptHistory.Fate.STARTED
                            && !attempt.firstTokenSeen();
            close(attempt, trueWord ? AttemptHistory.Fate.NOT_SENT : AttemptHistory.Fate.LOST);
            parts().feedback().onFailure(notSent.upstream(), notSent.reason());
            retryWithout(notSent.upstream(), "not sent: " + notSent.reason(), Optional.empty());
        } else if (end instanceof StreamEnd.StageLost lost) {
            fail(attempt, lost.upstream(), lost.reason());
        }
    }

    private void onFinished(Attempt attempt, StreamEnd.Finished finished) {
        boolean whole = finished.tokens() == mSequencer.next();
        if (!whole) {
            String counts = finished.tokens() + " tokens told, " + mSequencer.next() + " came";
            fail(attempt, firstStage(attempt), "answer is not whole: " + counts);
            return;
        }
        complete(attempt, finished);
    }

    private void complete(Attempt attempt, StreamEnd.Finished finished) {
        history().set(attempt.number(), AttemptHistory.Fate.FINISHED);
        attempt.end();
        mFinished = Optional.of(finished);
        emitReady();
    }

    private void onRefused(Attempt attempt, StreamEnd.Refused refused) {
        boolean trueWord = !attempt.firstTokenSeen();
        close(attempt, trueWord ? AttemptHistory.Fate.REFUSED : AttemptHistory.Fate.LOST);
        String reason = "refused by " + refused.upstream() + ": " + refused.reason();
        retryWithout(refused.upstream(), reason, refused.retryAfter());
    }

    private void fail(Attempt attempt, Identity stage, String reason) {
        parts().feedback().onFailure(stage, reason);
        if (mSequencer.isFull()) {
            record(DecisionKind.ATTEMPT, "all tokens had come before the stage failed: " + reason);
            attempt.stream().cancel();
            complete(attempt, new StreamEnd.Finished(FULL, mSequencer.next()));
            return;
        }
        close(attempt, AttemptHistory.Fate.LOST);
        retryWithout(stage, "stage " + stage + " failed: " + reason, Optional.empty());
    }

    private void retryWithout(Identity stage, String reason, Optional<Duration> retryAfter) {
        excluded().add(stage);
        retryOrGiveUp(reason, retryAfter, RefusalReason.UPSTREAM_REFUSED);
    }

    private void close(Attempt attempt, AttemptHistory.Fate fate) {
        if (attempt.hasEnded()) {
            return;
        }
        history().set(attempt.number(), fate);
        attempt.end();
        attempt.stream().cancel();
        record(DecisionKind.ATTEMPT, "attempt " + attempt.number() + " ended: " + fate);
    }

    private Duration firstTokenLimit(Duration predicted) {
        Duration limit =
                settings()
                        .firstTokenGrace()
                        .plus(predicted.multipliedBy(settings().predictionFactor()));
        return patience(limit);
    }

    /** Engines may let waiting streams of high priority go first, so that low ones fall silent. */
    private Duration patience(Duration limit) {
        boolean prompt = mayRepeat() && mRequest.priority() >= settings().promptPriority();
        return prompt ? limit : limit.multipliedBy(settings().patienceFactor());
    }

    private void watch(Attempt attempt) {
        if (!isCurrent(attempt) || mFinished.isPresent()) {
            return;
        }
        long nowNs = parts().scheduler().monotonicNs();
        if (mPaused) {
            attempt.onProgress(nowNs);
        }
        Duration left = attempt.silenceLeft(nowNs, patience(settings().tokenSilence()));
        if (left.isNegative() || left.isZero()) {
            onSilence(attempt);
            return;
        }
        attempt.setWatch(parts().scheduler().schedule(left, () -> post(() -> watch(attempt))));
    }

    private void onSilence(Attempt attempt) {
        excluded().addAll(mBlame.blame(attempt.chain()));
        fail(attempt, firstStage(attempt), "silent");
    }

    private void onPause() {
        if (hasEnded() || !mPaused) {
            return;
        }
        mAttempt.filter(this::isCurrent).ifPresent(attempt -> attempt.stream().pause());
        mStallTimer.cancel();
        mStallTimer =
                parts().scheduler().schedule(settings().stallLimit(), () -> post(this::onStalled));
    }

    private void onResume() {
        if (hasEnded() || mPaused) {
            return;
        }
        mStallTimer.cancel();
        long nowNs = parts().scheduler().monotonicNs();
        mAttempt.filter(this::isCurrent)
                .ifPresent(
                        attempt -> {
                            attempt.onProgress(nowNs);
                            attempt.stream().resume();
                        });
        emitReady();
    }

    private void onStalled() {
        if (mPaused) {
            giveUp(RefusalReason.CANCELLED, "the caller did not read in time", Optional.empty());
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
        text.append(chosen.predictedFirstToken().toMillis()).append(" ms, of ");
        return text.append(chosen.considered().size()).append(" candidates").toString();
    }

    /** Events of the attempts' streams, on the event queue. */
    private final class Events implements AttemptEvents {
        @Override
        public void onSending(Attempt attempt) {
            if (!attempt.hasEnded()) {
                history().set(attempt.number(), AttemptHistory.Fate.SENDING);
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

    /** Stands in for a caller that went away. */
    private static final class NoCaller implements AnswerSink {
        @Override
        public void onToken(int index, String text) {}

        @Override
        public void onOutcome(Outcome outcome) {}
    }
}
