package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.TaskGuard;
import org.amaranthpick.server.http.ConnectionWatch;
import org.amaranthpick.server.time.IoThreadScheduler;

/**
 * All requests of callers that this daemon has begun to read and not answered. Checks that each one
 * that was read ends once, within its time limit. Confined to the I/O thread.
 */
final class OpenExchanges {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Time limit of a request that fails before its own is known. */
    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(2);

    /** Time past its limit within which a request has to end. */
    private static final Duration LIMIT_MARGIN = Duration.ofMillis(500);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    private final IoThreadScheduler mScheduler;
    private final GatewayResponses mResponses;
    private final Invariants mInvariants;
    private final UnansweredRequests mUnanswered;
    private final Set<OpenExchange> mOpen = new HashSet<>();
    private final Set<OpenExchange> mClosed = new HashSet<>();
    private boolean mCheckScheduled;

    OpenExchanges(
            IoThreadScheduler scheduler,
            GatewayResponses responses,
            Invariants invariants,
            UnansweredRequests unanswered) {
        mScheduler = scheduler;
        mResponses = responses;
        mInvariants = invariants;
        mUnanswered = unanswered;
    }

    /** Registers a request whose head has been read, until its answer or its connection ends. */
    OpenExchange open(HttpServerExchange exchange) {
        OpenExchange open = new OpenExchange(exchange, this);
        mOpen.add(open);
        Runnable onClosed = () -> mScheduler.execute(() -> close(open));
        Cancellable watch = ConnectionWatch.start(exchange.getConnection(), onClosed);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    watch.cancel();
                    open.onComplete();
                    close(open);
                    next.proceed();
                });
        scheduleCheck();
        return open;
    }

    /** The others that watch the connection may not have heard of its end yet. */
    private void close(OpenExchange open) {
        if (!mOpen.remove(open)) {
            return;
        }
        if (open.isEnded()) {
            open.recordUnanswered(mUnanswered);
        } else {
            mClosed.add(open);
        }
    }

    /** Returns how many requests are being read, served or answered. */
    int count() {
        return mOpen.size();
    }

    /** Lets each response that has not begun announce that its connection closes after it. */
    void closeAfterResponses() {
        mOpen.forEach(OpenExchange::closeAfterResponse);
    }

    /** Returns how many requests have been read and have no complete answer. */
    int read() {
        return (int) mOpen.stream().filter(OpenExchange::isRead).count();
    }

    /** Returns how many requests are being read. */
    int reading() {
        return mOpen.size() - read();
    }

    Invariants invariants() {
        return mInvariants;
    }

    long limitNs(Duration timeLimit) {
        return mScheduler.monotonicNs() + timeLimit.plus(LIMIT_MARGIN).toNanos();
    }

    void onFailed(Throwable failure) {
        mScheduler.onTaskFailed("request", failure);
    }

    void log(String requestId, String reason) {
        sLogger.atWarning().log("request: id=%s outcome=refused detail=\"%s\"", requestId, reason);
    }

    void sendFailure(HttpServerExchange exchange, String requestId, boolean mayHaveRun) {
        if (mayHaveRun) {
            mResponses.sendInterrupted(exchange, requestId, false);
        } else {
            mResponses.sendNotRun(exchange, requestId, DEFAULT_LIMIT, Optional.empty());
        }
    }

    private void scheduleCheck() {
        if (!mCheckScheduled && !(mOpen.isEmpty() && mClosed.isEmpty())) {
            mCheckScheduled = true;
            mScheduler.schedule(CHECK_PERIOD, this::check);
        }
    }

    private void check() {
        mCheckScheduled = false;
        long nowNs = mScheduler.monotonicNs();
        new TaskGuard(mScheduler)
                .run(
                        "open requests",
                        () -> {
                            mClosed.forEach(open -> open.recordUnanswered(mUnanswered));
                            mClosed.forEach(OpenExchange::checkEnded);
                            mClosed.clear();
                            List.copyOf(mOpen).forEach(open -> open.checkLimit(nowNs));
                        },
                        this::scheduleCheck);
    }
}
