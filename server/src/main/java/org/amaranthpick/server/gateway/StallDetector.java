package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.gateway.SilenceTimeout;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Cancellable;

/**
 * Detects that an attempt of a retryable request has stalled: its upstream has been silent for too
 * long. A plain service is reported as stalled at once. For a chain of engines, the first engine is
 * queried for the engines that the stream is waiting for.
 */
final class StallDetector {
    private static final double NS_PER_MS = 1e6;
    private static final String TASK = "stall check";

    /** Multiple of the target latency after which an engine that does not report is given up. */
    private static final int MAX_TARGET_LATENCIES_UNANSWERED = 2;

    private final ForwardedRequest mRequest;
    private final GatewayContext mContext;
    private final Listener mListener;
    private final SilenceTimeout mSilenceTimeout;
    private Optional<ForwardAttempt> mAttempt = Optional.empty();
    private Cancellable mTimer = () -> {};
    private long mLastEventNs;
    private boolean mFalseAlarm;
    private boolean mPaused;

    /** Receives stall notifications. */
    interface Listener {
        /**
         * Handles a stalled attempt.
         *
         * @param attempt the stalled attempt
         * @param stalledEngines engines that do not respond to the attempt, empty if unknown
         * @param reason description of what was observed
         */
        void onStalled(ForwardAttempt attempt, List<UpstreamEntry> stalledEngines, String reason);
    }

    StallDetector(ForwardedRequest request, GatewayContext context, Listener listener) {
        this(request, context, listener, new SilenceTimeout(request.route()));
    }

    private StallDetector(
            ForwardedRequest request,
            GatewayContext context,
            Listener listener,
            SilenceTimeout silenceTimeout) {
        mRequest = request;
        mContext = context;
        mListener = listener;
        mSilenceTimeout = silenceTimeout;
    }

    /** Creates a detector for another attempt, which knows the usual pause of the stream. */
    StallDetector forOtherAttempt() {
        return new StallDetector(mRequest, mContext, mListener, mSilenceTimeout.copy());
    }

    /** Starts monitoring an attempt instead of the previous one. */
    void onAttempt(ForwardAttempt attempt) {
        mAttempt = Optional.of(attempt);
        mFalseAlarm = false;
        mPaused = false;
        mSilenceTimeout.onAttempt();
        mLastEventNs = mContext.scheduler().monotonicNs();
        schedule(mSilenceTimeout.timeout());
    }

    /** Records that an event was received. */
    void onEvent() {
        long nowNs = mContext.scheduler().monotonicNs();
        long pauseNs = nowNs - mLastEventNs;
        if (mSilenceTimeout.hasReceivedEvent() && mAttempt.isPresent()) {
            int tokens = mRequest.service().model().map(model -> model.tokensPerEvent()).orElse(1);
            mContext.targetPolicy()
                    .onEvent(mAttempt.get().target(), pauseNs / NS_PER_MS, tokens, nowNs);
        }
        if (mSilenceTimeout.hasReceivedEvent()) {
            mContext.metrics().onPause(Duration.ofNanos(pauseNs));
        } else {
            mContext.metrics().onFirstEvent(Duration.ofNanos(nowNs - mRequest.receivedNs()));
        }
        mFalseAlarm = false;
        mSilenceTimeout.onEvent(Duration.ofNanos(pauseNs));
        mLastEventNs = nowNs;
    }

    /** Returns whether the current attempt has produced an event. */
    boolean hasReceivedEvent() {
        return mSilenceTimeout.hasReceivedEvent();
    }

    /**
     * Returns whether the silence is longer than a usual pause. Used once another exchange found an
     * engine of the chain unresponsive.
     */
    boolean exceedsUsualPause() {
        return !mPaused && mSilenceTimeout.isLongerThanUsual(silenceDuration());
    }

    /** Stops monitoring while the upstream is not read from, since the caller reads too slowly. */
    void pause() {
        mPaused = true;
        mTimer.cancel();
    }

    /** Goes on monitoring; what was not read does not count as silence. */
    void resume() {
        if (mPaused) {
            mPaused = false;
            mLastEventNs = mContext.scheduler().monotonicNs();
            schedule(mSilenceTimeout.timeout());
        }
    }

    /** Raises the silence timeout and restarts the timer. */
    void backOff() {
        mSilenceTimeout.onFalseAlarm();
        schedule(mSilenceTimeout.timeout());
    }

    void stop() {
        mAttempt = Optional.empty();
        mTimer.cancel();
    }

    private void schedule(Duration delay) {
        mTimer.cancel();
        if (mRequest.route().retryable() && !mPaused) {
            mTimer = mContext.scheduler().schedule(delay, () -> run(this::check));
        }
    }

    /**
     * Runs a step of the detection. If it fails, the attempt goes on, which may be sound, and is
     * checked again.
     */
    private void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mContext.scheduler().onTaskFailed(TASK, e);
            if (mAttempt.isPresent()) {
                backOff();
            }
        }
    }

    private void check() {
        if (mAttempt.isEmpty()) {
            return;
        }
        Duration remaining = mSilenceTimeout.timeout().minus(silenceDuration());
        if (remaining.compareTo(Duration.ofMillis(1)) > 0) {
            schedule(remaining);
            return;
        }
        ForwardAttempt attempt = mAttempt.get();
        if (attempt.target().chain().isEmpty()) {
            mListener.onStalled(attempt, List.of(), "no response");
            return;
        }
        mContext.engines()
                .fetchReport(attempt.target().upstream())
                .whenComplete(
                        (report, failure) ->
                                mContext.scheduler()
                                        .execute(
                                                () ->
                                                        run(
                                                                () ->
                                                                        onReply(
                                                                                attempt, report,
                                                                                failure))));
    }

    private void onReply(ForwardAttempt attempt, EngineReport report, Throwable failure) {
        if (failure == null) {
            onReport(attempt, report);
            return;
        }
        mContext.scheduler().onTaskFailed(TASK, failure);
        onReport(
                attempt,
                new EngineReport.Absent(
                        "the query failed, " + failure, EngineReport.Absent.Cause.NO_REPORT));
    }

    private void onReport(ForwardAttempt attempt, EngineReport report) {
        if (mPaused || mAttempt.filter(current -> current == attempt).isEmpty()) {
            return;
        }
        if (report instanceof EngineReport.Absent missing) {
            onReportMissing(attempt, missing);
            return;
        }
        List<String> stalledAddresses =
                ((EngineReport.Present) report)
                        .stalled()
                        .getOrDefault(mRequest.metadata().requestId(), List.of());
        List<UpstreamEntry> stalledEngines =
                stalledAddresses.stream()
                        .flatMap(address -> mContext.register().findByAddress(address).stream())
                        .toList();
        if (stalledEngines.isEmpty() && isPathSuspect(attempt)) {
            mListener.onStalled(attempt, List.of(), "the engine answers over another path");
        } else if (stalledEngines.isEmpty()) {
            mFalseAlarm = true;
            backOff();
        } else {
            mListener.onStalled(attempt, stalledEngines, "stalled at " + stalledAddresses);
        }
    }

    /**
     * Returns whether an attempt is silent though its engine answers queries, since its connection
     * leads over a path that was found broken, or through a daemon that may be silent itself.
     */
    private boolean isPathSuspect(ForwardAttempt attempt) {
        return attempt.relay().isPresent()
                ? mFalseAlarm
                : !mContext.paths().isDirect(attempt.target().upstream().id());
    }

    private void onReportMissing(ForwardAttempt attempt, EngineReport.Absent missing) {
        Duration targetLatency = mRequest.route().targetLatency();
        boolean unanswered =
                silenceDuration()
                                .compareTo(
                                        targetLatency.multipliedBy(MAX_TARGET_LATENCIES_UNANSWERED))
                        > 0;
        EngineReport.Absent.Cause cause = missing.cause();
        if (cause == EngineReport.Absent.Cause.NO_PATH) {
            mListener.onStalled(attempt, List.of(), missing.reason());
        } else if (cause == EngineReport.Absent.Cause.UNREACHABLE
                || (cause == EngineReport.Absent.Cause.NO_REPORT && unanswered)) {
            mListener.onStalled(attempt, List.of(attempt.target().upstream()), missing.reason());
        } else {
            backOff();
        }
    }

    private Duration silenceDuration() {
        return Duration.ofNanos(mContext.scheduler().monotonicNs() - mLastEventNs);
    }
}
