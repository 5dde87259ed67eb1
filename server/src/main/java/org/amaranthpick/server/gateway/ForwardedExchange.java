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
import org.amaranthpick.core.gateway.EventStreamSplitter;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.UpstreamVerdict;
import org.amaranthpick.core.reach.PathFault;
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
    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final GatewayResponses mResponses;
    private final Listener mListener;
    private final CallerResponseWriter mResponseWriter;
    private final EventStreamSplitter mEventSplitter;
    private final Set<String> mExcludedUpstreams = new HashSet<>();
    private Optional<BufferedResponse> mLastResponse = Optional.empty();
    private DisconnectDetector mDisconnectDetector;
    private Optional<ForwardAttempt> mAttempt = Optional.empty();
    private Cancellable mDeadlineTimer = () -> {};
    private final StallDetector mStallDetector;
    private final PromptCrashGuard mCrashGuard;
    private final ExchangeLog mLog;
    private final HealthRecorder mHealth;
    private final SendHistory mSends;
    private final ExchangeAdmission mAdmission;
    private boolean mStreamStarted;
    private boolean mEnded;

    /** Response of an upstream, kept while another upstream is tried. */
    @SuppressWarnings("ArrayRecordComponent")
    private record BufferedResponse(int status, HeaderMap headers, byte[] body) {}

    /** Receives events that concern other exchanges. */
    interface Listener {
        /** Handles the end of the exchange. */
        void onEnded(ForwardedExchange exchange);

        /** Handles an engine that was found not to respond. */
        void onEngineUnresponsive(String engineId, String reason);
    }

    ForwardedExchange(
            HttpServerExchange exchange,
            ForwardedRequest request,
            GatewayContext context,
            GatewayResponses responses,
            Listener listener) {
        mExchange = exchange;
        mRequest = request;
        mContext = context;
        mResponses = responses;
        mListener = listener;
        mResponseWriter =
                new CallerResponseWriter(
                        exchange,
                        context.dialect(),
                        this::onCallerDisconnected,
                        this::onCallerWritable);
        mEventSplitter = new EventStreamSplitter(request.metadata().lastEventId());
        mStallDetector = new StallDetector(request, context, this);
        mCrashGuard = new PromptCrashGuard(request, context);
        mSends = new SendHistory(request, context, mCrashGuard);
        mAdmission = new ExchangeAdmission(request, context, this::tryNextUpstream, this::fail);
        mLog = new ExchangeLog(request);
        mHealth = new HealthRecorder(context, mLog);
    }

    void start() {
        mDisconnectDetector = DisconnectDetector.start(mExchange, this::onCallerDisconnected);
        mDeadlineTimer =
                mContext.scheduler()
                        .schedule(remainingTime().minus(RESPONSE_MARGIN), this::onDeadline);
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
        sendTo(target.get(), reason);
    }

    private void sendTo(Target target, String reason) {
        mSends.onSend();
        mCrashGuard.onAttempt();
        Duration remainingTime = remainingTime();
        UpstreamRequestMetadata metadata =
                new UpstreamRequestMetadata(
                        target,
                        mRequest.metadata().deadline().map(deadline -> deadline.minus(elapsed())),
                        mRequest.workspace(),
                        mRequest.priority(),
                        mEventSplitter.lastId());
        mContext.metrics().onAttempt(mRequest.route().kind(), mSends.sendCount() > 1);
        logRequest("attempt", reason + " " + ExchangeLog.describe(target));
        ForwardAttempt attempt =
                new ForwardAttempt(
                        this,
                        mRequest,
                        mContext,
                        target,
                        mContext.dialect().upstreamHeaders(mRequest.headers(), metadata),
                        remainingTime.plus(RESPONSE_MARGIN));
        mAttempt = Optional.of(attempt);
        mStallDetector.onAttempt(attempt);
        attempt.start();
    }

    // Events of the current attempt.

    void onStreamHead(int status, HeaderMap headers) {
        if (!mStreamStarted) {
            mStreamStarted = true;
            mResponseWriter.startStream(status, headers);
        }
        mEventSplitter.dropPartial();
    }

    void onStreamBytes(ByteBuffer bytes) {
        byte[] events = mEventSplitter.feed(bytes);
        if (mEventSplitter.isOverlong()) {
            ForwardAttempt attempt = mAttempt.get();
            attempt.cancel();
            onResponseLost(attempt, "the stream sends bytes without an event");
            return;
        }
        if (events.length == 0) {
            return;
        }
        if (!mStallDetector.hasReceivedEvent()) {
            mHealth.recordSuccess(mAttempt.get().target());
            mAdmission.onFirstEvent();
        }
        mStallDetector.onEvent();
        mCrashGuard.onEvent();
        if (!mResponseWriter.sendChunk(events)) {
            mAttempt.ifPresent(ForwardAttempt::pause);
        }
    }

    void onStreamEnd() {
        if (mEventSplitter.hasPartial()) {
            onResponseLost(mAttempt.get(), "the stream ended in the middle of an event");
            return;
        }
        mHealth.recordSuccess(mAttempt.get().target());
        mCrashGuard.onStreamEnd();
        end("answered", "stream complete");
        mResponseWriter.finish();
    }

    void onResponse(
            ForwardAttempt attempt, boolean success, int status, HeaderMap headers, byte[] body) {
        mSends.onRun();
        boolean serverError = status >= StatusCodes.INTERNAL_SERVER_ERROR;
        if (mStreamStarted) {
            onResponseLost(attempt, "the stream cannot be resumed, status " + status);
            return;
        }
        mExcludedUpstreams.add(attempt.target().upstream().id());
        mLastResponse = Optional.of(new BufferedResponse(status, headers, body));
        if (!success && serverError && mSends.acquireRetry(retryTime())) {
            tryNextUpstream("status " + status);
            return;
        }
        if (success) {
            mHealth.recordSuccess(attempt.target());
            mCrashGuard.onAnswered();
        }
        deliver(mLastResponse.get(), "status " + status);
    }

    private void deliver(BufferedResponse response, String detail) {
        end("answered", detail);
        mResponseWriter.sendComplete(response.status(), response.headers(), response.body());
    }

    void onNotSent(ForwardAttempt attempt, CallEnd.NotSent end) {
        UpstreamEntry upstream = attempt.target().upstream();
        if (end.fault() == PathFault.UPSTREAM) {
            mHealth.recordUnreachable(upstream, end.reason());
        } else if (end.fault() == PathFault.UNCONFIRMED) {
            mHealth.recordFailure(upstream, end.reason());
        }
        mExcludedUpstreams.add(upstream.id());
        if (mContext.upstreams().isIsolated()) {
            fail(ExchangeAdmission.NO_PATH);
        } else if (mSends.admitsFurtherSend()) {
            tryNextUpstream(end.reason());
        } else {
            fail(end.reason());
        }
    }

    void onNotRun(ForwardAttempt attempt, int status, UpstreamVerdict.NotRun notRun) {
        String reason =
                "status " + status + ", not run, at " + notRun.faultyAddress().orElse("first");
        Optional<UpstreamEntry> faulty =
                notRun.faultyAddress()
                        .flatMap(address -> mContext.register().findByAddress(address));
        UpstreamEntry failed = faulty.orElse(attempt.target().upstream());
        if (notRun.misdirected()) {
            mHealth.recordFailure(failed, reason);
        } else if (attempt.target().chain().isPresent()) {
            mContext.health().onBusy(failed.id(), nowNs());
        }
        mExcludedUpstreams.add(failed.id());
        retryNotRun(attempt, reason);
    }

    void onResponseLost(ForwardAttempt attempt, String reason) {
        mContext.metrics().onLoss(mRequest.route().kind(), mStallDetector.hasReceivedEvent());
        mLog.logLoss(
                attempt.target().upstream(), mStallDetector.hasReceivedEvent(), elapsed(), reason);
        mCrashGuard.onLost(attempt);
        mSends.onBrokenOff(attempt, mStallDetector.hasReceivedEvent());
        if (!mStreamStarted || attempt.target().chain().isEmpty()) {
            mHealth.recordFailure(attempt.target().upstream(), reason);
        }
        mExcludedUpstreams.addAll(attempt.target().upstreamIds());
        if (mSends.acquireRetry(retryTime())) {
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
            mAttempt.ifPresent(
                    attempt -> {
                        mSends.onCancelled(attempt);
                        attempt.cancel();
                    });
            fail(QUARANTINED);
        }
    }

    /** Retries a request that reached an upstream and was not run there. */
    private void retryNotRun(ForwardAttempt attempt, String reason) {
        mExcludedUpstreams.add(attempt.target().upstream().id());
        if (mSends.acquireRetryNotRun()) {
            tryNextUpstream(reason);
        } else {
            fail(reason);
        }
    }

    // Stalled attempts.

    /**
     * Handles an engine that another exchange found not to respond. If this stream passes through
     * that engine and is silent too, it fails over to another target without querying the engine.
     */
    void onEngineUnresponsive(String engineId, String reason) {
        boolean affected =
                !mEnded
                        && mRequest.route().retryable()
                        && mAttempt.flatMap(attempt -> attempt.target().chain())
                                .filter(chain -> chain.contains(engineId))
                                .isPresent();
        if (affected && mStallDetector.exceedsUsualPause()) {
            mExcludedUpstreams.add(engineId);
            failOver(mAttempt.get(), reason);
        }
    }

    /** Fails over if the stream is silent on a direct path. */
    void onPartitioned() {
        boolean affected =
                !mEnded
                        && mRequest.route().retryable()
                        && mAttempt.filter(attempt -> attempt.relay().isEmpty()).isPresent();
        if (affected && mStallDetector.exceedsUsualPause()) {
            failOver(mAttempt.get(), "all direct paths are broken");
        }
    }

    @Override
    public void onStalled(
            ForwardAttempt attempt, List<UpstreamEntry> stalledEngines, String reason) {
        stalledEngines.forEach(engine -> mHealth.recordUnreachable(engine, reason));
        stalledEngines.forEach(engine -> mExcludedUpstreams.add(engine.id()));
        failOver(attempt, reason);
        stalledEngines.forEach(engine -> mListener.onEngineUnresponsive(engine.id(), reason));
    }

    /**
     * Fails over to another target. The stalled attempt is cancelled only if there is another
     * target with a path to it and the retry budget allows it.
     */
    private void failOver(ForwardAttempt attempt, String reason) {
        Set<String> excluded = new HashSet<>(mExcludedUpstreams);
        if (attempt.target().chain().isEmpty()) {
            excluded.add(attempt.target().upstream().id());
        }
        Optional<Target> next =
                mContext.targetPolicy().choose(mRequest.service(), excluded, nowNs());
        if (next.isEmpty() || mContext.upstreams().isLastPath(attempt.relay())) {
            mStallDetector.backOff();
            return;
        }
        if (!mSends.acquireRetryInsteadOf(
                attempt, mStallDetector.hasReceivedEvent(), retryTime())) {
            mStallDetector.backOff();
            return;
        }
        mSends.onBrokenOff(attempt, mStallDetector.hasReceivedEvent());
        attempt.cancel();
        mExcludedUpstreams.addAll(excluded);
        sendTo(next.get(), "stalled, " + reason);
    }

    // End of the exchange.

    private void onDeadline() {
        if (!mEnded) {
            mAttempt.ifPresent(
                    attempt -> {
                        mSends.onCancelled(attempt);
                        attempt.cancel();
                    });
            fail("deadline exceeded");
        }
    }

    private void onCallerDisconnected() {
        if (!mEnded) {
            mAttempt.ifPresent(ForwardAttempt::cancel);
            end("gone", "the caller closed its connection");
            mResponseWriter.abort();
        }
    }

    private void onCallerWritable() {
        mAttempt.ifPresent(ForwardAttempt::resume);
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
        } else if (mSends.mayHaveRun()) {
            boolean timedOut = remainingTime().compareTo(RESPONSE_MARGIN.multipliedBy(2)) < 0;
            end(timedOut ? "timeout" : "interrupted", reason);
            mResponses.sendInterrupted(mExchange, mRequest.metadata().requestId(), timedOut);
        } else if (mCrashGuard.quarantineTimeLeft().isPresent()) {
            end("refused", reason);
            mResponses.sendQuarantined(
                    mExchange,
                    mRequest.metadata().requestId(),
                    mCrashGuard.quarantineTimeLeft().get());
        } else {
            end("refused", reason);
            mResponses.sendNotRun(
                    mExchange,
                    mRequest.metadata().requestId(),
                    remainingTime(),
                    mAdmission.retryTime());
        }
    }

    private void end(String outcome, String reason) {
        mEnded = true;
        mDeadlineTimer.cancel();
        mStallDetector.stop();
        mDisconnectDetector.stop();
        mAdmission.close(outcome.equals("answered"));
        logRequest(outcome, reason);
        mContext.metrics().onRequestEnd(mRequest.route().kind(), outcome, elapsed());
        mListener.onEnded(this);
    }

    // Logging.

    private void logRequest(String outcome, String detail) {
        mLog.logRequest(outcome, mSends.sendCount(), elapsed(), detail);
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
