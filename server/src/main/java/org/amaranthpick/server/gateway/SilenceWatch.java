package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.gateway.SilenceLimit;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.Cancellable;

/**
 * Watches the silence of one exchange that may be repeated. A silent plain service is given up for
 * another; a chain's first engine is asked which engine the stream waits for.
 */
final class SilenceWatch {
    private static final double NS_PER_MS = 1e6;

    /** Objectives of the first event after which an engine that answers no question is given up. */
    private static final int OBJECTIVES_UNANSWERED = 2;

    private final ForwardedRequest mRequest;
    private final GatewayParts mParts;
    private final Owner mOwner;
    private final SilenceLimit mLimit;
    private Optional<ForwardAttempt> mAttempt = Optional.empty();
    private Cancellable mTimer = () -> {};
    private long mLastEventNs;

    /** The exchange that is watched. */
    interface Owner {
        /**
         * The attempt is silent.
         *
         * @param culprits engines that it waits for in vain, empty if none is to blame
         * @param reason what was seen
         */
        void onSilent(ForwardAttempt attempt, List<UpstreamEntry> culprits, String reason);
    }

    SilenceWatch(ForwardedRequest request, GatewayParts parts, Owner owner) {
        mRequest = request;
        mParts = parts;
        mOwner = owner;
        mLimit = new SilenceLimit(request.route());
    }

    /** Starts to watch an attempt in place of the one before. */
    void onAttempt(ForwardAttempt attempt) {
        mAttempt = Optional.of(attempt);
        mLimit.onAttempt();
        mLastEventNs = mParts.scheduler().monotonicNs();
        schedule(mLimit.limit());
    }

    /** Notes that an event came. */
    void onEvent() {
        long nowNs = mParts.scheduler().monotonicNs();
        long pauseNs = nowNs - mLastEventNs;
        if (mLimit.sawEvent() && mAttempt.isPresent()) {
            int tokens = mRequest.service().model().map(m -> m.tokensPerEvent()).orElse(1);
            mParts.chooser().onEvent(mAttempt.get().target(), pauseNs / NS_PER_MS, tokens, nowNs);
        }
        if (mLimit.sawEvent()) {
            mParts.metrics().onPause(Duration.ofNanos(pauseNs));
        } else {
            mParts.metrics().onFirstEvent(Duration.ofNanos(nowNs - mRequest.readNs()));
        }
        mLimit.onEvent(Duration.ofNanos(pauseNs));
        mLastEventNs = nowNs;
    }

    /** Whether the attempt brought an event. */
    boolean sawEvent() {
        return mLimit.sawEvent();
    }

    /** Whether the silence is no usual pause, given that an engine of the chain is lost. */
    boolean isLong() {
        return mLimit.isLong(silence());
    }

    /** Waits longer before the next question. */
    void waitLonger() {
        mLimit.onFalseAlarm();
        schedule(mLimit.limit());
    }

    void stop() {
        mAttempt = Optional.empty();
        mTimer.cancel();
    }

    private void schedule(Duration delay) {
        mTimer.cancel();
        if (mRequest.route().repeatable()) {
            mTimer = mParts.scheduler().schedule(delay, this::check);
        }
    }

    private void check() {
        if (mAttempt.isEmpty()) {
            return;
        }
        Duration left = mLimit.limit().minus(silence());
        if (left.compareTo(Duration.ofMillis(1)) > 0) {
            schedule(left);
            return;
        }
        ForwardAttempt asked = mAttempt.get();
        if (asked.target().chain().isEmpty()) {
            mOwner.onSilent(asked, List.of(), "no answer");
            return;
        }
        mParts.engines()
                .report(asked.target().upstream())
                .thenAccept(report -> mParts.scheduler().execute(() -> onReport(asked, report)));
    }

    private void onReport(ForwardAttempt asked, EngineReport report) {
        if (mAttempt.filter(attempt -> attempt == asked).isEmpty()) {
            return;
        }
        if (report instanceof EngineReport.Absent absent) {
            onAbsent(asked, absent);
            return;
        }
        List<String> stalled =
                ((EngineReport.Present) report)
                        .stalled()
                        .getOrDefault(mRequest.facts().requestId(), List.of());
        List<UpstreamEntry> culprits =
                stalled.stream()
                        .flatMap(address -> mParts.register().atAddress(address).stream())
                        .toList();
        if (culprits.isEmpty()) {
            waitLonger();
        } else {
            mOwner.onSilent(asked, culprits, "stalled at " + stalled);
        }
    }

    private void onAbsent(ForwardAttempt asked, EngineReport.Absent absent) {
        Duration objective = mRequest.route().targetLatency();
        boolean unanswered = silence().compareTo(objective.multipliedBy(OBJECTIVES_UNANSWERED)) > 0;
        if (absent.unreachable() || unanswered) {
            mOwner.onSilent(asked, List.of(asked.target().upstream()), absent.reason());
        } else {
            waitLonger();
        }
    }

    private Duration silence() {
        return Duration.ofNanos(mParts.scheduler().monotonicNs() - mLastEventNs);
    }
}
