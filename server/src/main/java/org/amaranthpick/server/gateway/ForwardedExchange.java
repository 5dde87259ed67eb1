package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.amaranthpick.core.gateway.EventStreamSplitter;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.CallEnd;

/**
 * Forwards a request until the caller has its final response. Sends it to one upstream after
 * another, resumes a broken stream within the same response, enforces the time limits, and keeps
 * track of whether the request may have run.
 */
final class ForwardedExchange implements StallDetector.Listener {
    /** Time reserved before the deadline for delivering the final response to the caller. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(20);

    private static final String QUARANTINED =
            "the request or a part of its prompt crashes upstreams";

    private final HttpServerExchange mExchange;
    private final OpenExchange mOpen;
    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final ExchangeListener mListener;
    private final CallerResponseWriter mResponseWriter;
    private final Set<String> mExcludedUpstreams = new HashSet<>();
    private Optional<BufferedResponse> mLastResponse = Optional.empty();
    private Runnable mStopDetector = () -> {};
    private Cancellable mDeadlineTimer = () -> {};
    private final AttemptPair mAttempts;
    private final StandbyTargets mStandbyTargets;
    private final PromptCrashGuard mCrashGuard;
    private final ExchangeLog mLog;
    private final HealthRecorder mHealth;
    private final SendHistory mSends;
    private final ExchangeAdmission mAdmission;
    private final FailureResponse.Selector mFailures;
    private boolean mStreamStarted;
    private boolean mStalled;
    private boolean mEnded;

    ForwardedExchange(
            HttpServerExchange exchange,
            OpenExchange open,
            ForwardedRequest request,
            GatewayContext context,
            GatewayResponses responses,
            ExchangeListener listener) {
        mExchange = exchange;
        mOpen = open;
        mRequest = request;
        mContext = context;
        mListener = listener;
        mResponseWriter =
                new CallerResponseWriter(
                        exchange,
                        context.dialect(),
                        open::run,
                        () -> run(this::onCallerDisconnected),
                        () -> run(this::onCallerWritable));
        mCrashGuard = new PromptCrashGuard(request, context);
        mSends = new SendHistory(request, context, mCrashGuard);
        mAttempts =
                new AttemptPair(
                        request.metadata().lastEventId(),
                        new StallDetector(request, context, this),
                        mSends,
                        mCrashGuard);
        mStandbyTargets = new StandbyTargets(request, context, mAttempts, mSends);
        mAdmission =
                new ExchangeAdmission(open, request, context, this::tryNextUpstream, this::fail);
        mFailures =
                new FailureResponse.Selector(
                        exchange, request, responses, mSends, mCrashGuard, mAdmission);
        mLog = new ExchangeLog(request, context.planned());
        mHealth = new HealthRecorder(context, mLog);
    }

    void start() {
        mStopDetector =
                DisconnectDetector.start(mExchange, () -> run(this::onCallerDisconnected))::stop;
        Runnable onDeadline = () -> run(() -> giveUp("deadline exceeded"));
        mDeadlineTimer = mContext.scheduler().schedule(retryTime(), onDeadline);
        mContext.retryBudgets().forService(mRequest.service().name()).onRequest(nowNs());
        if (!mCrashGuard.admits()) {
            fail(QUARANTINED);
        } else if (mContext.upstreams().isIsolated()) {
            fail(ExchangeAdmission.NO_PATH);
        } else {
            mAdmission.start();
        }
    }

    private void tryNextUpstream(String reason) {
        if (mCrashGuard.quarantineTimeLeft().isPresent()) {
            fail(QUARANTINED + "; last cause: " + reason);
            return;
        }
        Optional<Target> target =
                mContext.targetPolicy().choose(mRequest.service(), mExcludedUpstreams, nowNs());
        if (target.isEmpty()) {
            String obstacles =
                    mContext.targetPolicy().describeObstacles(mRequest.service(), nowNs());
            fail("no upstream available" + obstacles + "; last cause: " + reason);
            return;
        }
        mAttempts.start(createAttempt(target.get(), reason));
    }

    private ForwardAttempt createAttempt(Target target, String reason) {
        mSends.onSend();
        UpstreamRequestMetadata metadata =
                mRequest.upstreamMetadata(
                        target,
                        mContext.stop().limit(mRequest.metadata().deadline(), elapsed()),
                        mAttempts.lastEventId());
        mContext.metrics().onAttempt(mRequest.route().kind(), mSends.sendCount() > 1);
        String detail = reason + " " + ExchangeLog.describe(target);
        mLog.logRequest("attempt", mSends.sendCount(), elapsed(), detail);
        return new ForwardAttempt(
                this,
                mOpen,
                mRequest,
                mContext,
                target,
                AnswerBuffer.open(mExchange, mContext.answerMemory()),
                mContext.dialect().upstreamHeaders(mRequest.headers(), metadata),
                remainingTime().plus(RESPONSE_MARGIN));
    }

    void onStreamHead(ForwardAttempt attempt, int status, HeaderMap headers) {
        if (mAttempts.isStandby(attempt)) {
            mAttempts.onStandbyHead(() -> startStream(status, headers));
        } else {
            startStream(status, headers);
            mAttempts.eventSplitter(attempt).dropPartial();
        }
    }

    private void startStream(int status, HeaderMap headers) {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mResponseWriter.startStream(status, headers);
        }
    }

    void onStreamBytes(ForwardAttempt attempt, ByteBuffer bytes) {
        EventStreamSplitter splitter = mAttempts.eventSplitter(attempt);
        byte[] events = splitter.feed(bytes);
        if (splitter.isOverlong()) {
            attempt.cancel();
            onResponseLost(attempt, "the stream sends bytes without an event");
        } else if (events.length > 0) {
            mAttempts.prefer(attempt);
            onEvents(attempt, events);
        }
    }

    private void onEvents(ForwardAttempt attempt, byte[] events) {
        if (!mAttempts.hasReceivedEvent(attempt)) {
            mHealth.recordSuccess(attempt.target());
            mAdmission.onFirstEvent();
        } else if (mStalled) {
            mHealth.recordSuccess(attempt.target());
        }
        mStalled = false;
        mAttempts.stallDetector().onEvent();
        mCrashGuard.onEvent();
        if (!mResponseWriter.sendChunk(events)) {
            mAttempts.pause();
        }
    }

    void onStreamEnd(ForwardAttempt attempt) {
        if (mAttempts.eventSplitter(attempt).hasPartial()) {
            onResponseLost(attempt, "the stream ended in the middle of an event");
            return;
        }
        mAttempts.prefer(attempt);
        mHealth.recordSuccess(attempt.target());
        mCrashGuard.onStreamEnd();
        end("answered", "stream complete");
        mResponseWriter.finish();
    }

    void onResponse(
            ForwardAttempt attempt, boolean success, int status, HeaderMap headers, byte[] body) {
        mSends.onRun();
        if (mStreamStarted) {
            onResponseLost(attempt, "the stream cannot be resumed, status " + status);
            return;
        }
        mExcludedUpstreams.add(attempt.target().upstream().id());
        mLastResponse = Optional.of(new BufferedResponse(status, headers, body));
        if (!success && status >= StatusCodes.INTERNAL_SERVER_ERROR) {
            String reason = "status " + status;
            if (continueWithOther(attempt, reason)) {
                return;
            }
            if (mSends.acquireRetry(retryTime())) {
                tryNextUpstream(reason);
                return;
            }
        }
        mAttempts.prefer(attempt);
        if (success) {
            mHealth.recordSuccess(attempt.target());
            mCrashGuard.onAnswered();
        }
        deliver(mLastResponse.get(), "status " + status);
    }

    private void deliver(BufferedResponse response, String detail) {
        mResponseWriter.setHead(response.status(), response.headers());
        end("answered", detail);
        mResponseWriter.sendComplete(response.body());
    }

    void onNotSent(ForwardAttempt attempt, CallEnd.NotSent end) {
        UpstreamEntry upstream = attempt.target().upstream();
        mHealth.recordNotSent(upstream, end);
        mExcludedUpstreams.add(upstream.id());
        if (mContext.upstreams().isIsolated() && !mAttempts.hasStandby()) {
            fail(ExchangeAdmission.NO_PATH);
        } else {
            goOn(attempt, end.reason(), mSends::admitsFurtherSend);
        }
    }

    void onNotRun(ForwardAttempt attempt, int status, UpstreamVerdict.NotRun notRun) {
        String reason =
                "status " + status + ", not run, at " + notRun.faultyAddress().orElse("first");
        mExcludedUpstreams.add(mHealth.recordNotRun(attempt.target(), notRun, reason).id());
        mExcludedUpstreams.add(attempt.target().upstream().id());
        goOn(attempt, reason, mSends::acquireRetryNotRun);
    }

    void onResponseLost(ForwardAttempt attempt, String reason) {
        boolean answering = mAttempts.hasReceivedEvent(attempt);
        mContext.metrics().onLoss(mRequest.route().kind(), answering);
        mLog.logLoss(attempt.target().upstream(), answering, elapsed(), reason);
        mCrashGuard.onLost(attempt, answering);
        mSends.onBrokenOff(attempt, answering);
        if (!mStreamStarted || attempt.target().chain().isEmpty()) {
            mHealth.recordFailure(attempt.target().upstream(), reason);
        }
        mExcludedUpstreams.addAll(attempt.target().upstreamIds());
        goOn(attempt, reason, () -> mSends.acquireRetry(retryTime()));
    }

    /** Goes on after an attempt has ended: with the other one, a further one, or a failure. */
    private void goOn(ForwardAttempt ended, String reason, BooleanSupplier acquireRetry) {
        if (continueWithOther(ended, reason)) {
            return;
        }
        if (acquireRetry.getAsBoolean()) {
            tryNextUpstream(reason);
        } else {
            fail(reason);
        }
    }

    /**
     * Ends a request whose prompt has been quarantined since it was sent, before the engine begins
     * to run it. One that is being answered is not at fault.
     */
    void onQuarantine() {
        if (!mEnded && !mStreamStarted && mCrashGuard.quarantineTimeLeft().isPresent()) {
            mAttempts.cancel();
            fail(QUARANTINED);
        }
    }

    /**
     * Handles an engine that another exchange found not to respond. If this stream passes through
     * that engine and is silent too, it fails over to another target without querying the engine.
     */
    void onEngineUnresponsive(String engineId, String reason) {
        if (mEnded || !mRequest.route().retryable()) {
            return;
        }
        if (mAttempts.isCurrentSilent(attempt -> attempt.passesThrough(engineId))) {
            mStalled = true;
            mExcludedUpstreams.add(engineId);
            failOver(reason);
        }
        if (mAttempts.isStandbySilent(attempt -> attempt.passesThrough(engineId))) {
            mExcludedUpstreams.add(engineId);
            if (!startStandby(reason, true)) {
                mAttempts.backOffStandby();
            }
        }
    }

    /** Fails over if the stream is silent on a direct path. */
    void onPartitioned() {
        if (!mEnded
                && mRequest.route().retryable()
                && mAttempts.isCurrentSilent(attempt -> attempt.relay().isEmpty())) {
            failOver("all direct paths are broken");
        }
    }

    @Override
    public void onStalled(
            ForwardAttempt attempt, List<UpstreamEntry> stalledEngines, String reason) {
        run(() -> failOverFrom(attempt, stalledEngines, reason));
        stalledEngines.forEach(engine -> mListener.onEngineUnresponsive(engine.id(), reason));
    }

    private void failOverFrom(
            ForwardAttempt attempt, List<UpstreamEntry> stalledEngines, String reason) {
        stalledEngines.forEach(engine -> mHealth.recordUnreachable(engine, reason));
        stalledEngines.forEach(engine -> mExcludedUpstreams.add(engine.id()));
        if (!mAttempts.isStandby(attempt)) {
            mStalled = true;
            failOver(reason);
        } else if (attempt.target().chain().isEmpty() || !startStandby(reason, true)) {
            mAttempts.backOffStandby();
        }
    }

    /**
     * Sends the request to another target as well, if there is one with a path to it and the retry
     * budget allows it. The stalled attempt goes on: its engine may only pause.
     */
    private void failOver(String reason) {
        if (!mAttempts.hasStandby() && !startStandby(reason, true)) {
            mAttempts.stallDetector().backOff();
        }
    }

    /** Starts a standby in place of the present one, if there is another target. */
    private boolean startStandby(String reason, boolean fromBudget) {
        Optional<Target> target =
                mStandbyTargets.acquire(mExcludedUpstreams, fromBudget, retryTime());
        target.ifPresent(
                next -> {
                    mAttempts.cancelStandby();
                    mAttempts.startStandby(createAttempt(next, "stalled, " + reason));
                });
        return target.isPresent();
    }

    /** Goes on with the other one of two attempts; returns false if there is only one. */
    private boolean continueWithOther(ForwardAttempt ended, String reason) {
        if (!mAttempts.hasStandby()) {
            return false;
        }
        // A send that reached no upstream has left its part of the budget unused.
        if (mAttempts.removeEnded(ended) && !startStandby(reason, ended.sent())) {
            mAttempts.stallDetector().backOff();
        }
        return true;
    }

    /** Ends the request with what its caller may know now. */
    void giveUp(String reason) {
        if (!mEnded) {
            mAttempts.cancel();
            fail(reason);
        }
    }

    private void onCallerDisconnected() {
        if (!mEnded) {
            mAttempts.cancel();
            end("gone", "the caller closed its connection");
            mFailures.select(remainingTime(), RESPONSE_MARGIN).sendLast(mExchange, mResponseWriter);
        }
    }

    private void onCallerWritable() {
        mAttempts.resume();
    }

    private void fail(String reason) {
        if (mEnded) {
            return;
        }
        if (mStreamStarted) {
            end("broken", reason);
            mResponseWriter.abort();
        } else if (mLastResponse.isPresent()) {
            deliver(mLastResponse.get(), "status " + mLastResponse.get().status() + ", " + reason);
        } else {
            FailureResponse response = mFailures.select(remainingTime(), RESPONSE_MARGIN);
            end(response.outcome(), reason);
            response.send();
        }
    }

    private void end(String outcome, String reason) {
        mEnded = true;
        mOpen.onEnd(outcome);
        mOpen.runAll(
                mDeadlineTimer::cancel,
                mAttempts::stop,
                mStopDetector,
                () -> mAdmission.close(outcome.equals("answered")),
                () -> mLog.logRequest(outcome, mSends.sendCount(), elapsed(), reason),
                () -> mContext.metrics().onRequestEnd(mRequest.route().kind(), outcome, elapsed()),
                () -> mListener.onEnded(this));
    }

    /** Runs a step of the exchange, which ends if it fails. */
    void run(Runnable step) {
        mOpen.run(step);
    }

    /** Ends the exchange, of which a step failed; returns whether the request may have run. */
    boolean abandon(String reason) {
        boolean cancelled = mOpen.runAll(mAttempts::cancel);
        boolean mayHaveRun = mSends.mayHaveRun() || !cancelled;
        if (!mEnded) {
            end(mStreamStarted ? "broken" : mayHaveRun ? "interrupted" : "refused", reason);
        }
        return mayHaveRun;
    }

    private long nowNs() {
        return mContext.scheduler().monotonicNs();
    }

    private Duration elapsed() {
        return Duration.ofNanos(nowNs() - mRequest.receivedNs());
    }

    /** Returns the time left for a retry. */
    private Duration retryTime() {
        return remainingTime().minus(RESPONSE_MARGIN);
    }

    private Duration remainingTime() {
        return mRequest.timeLimit().minus(elapsed());
    }
}
