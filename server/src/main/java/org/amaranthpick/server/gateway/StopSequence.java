package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.time.Scheduler;

/**
 * Sequence of a planned stop. Readiness is withdrawn; once the load balancer knows, further
 * requests are refused; shortly before the end of the grace the requests in progress get their
 * ends; the stop has ended when every response is written and every connection closed. Confined to
 * one thread.
 */
final class StopSequence {
    /** Time for which the load balancer may still send connections after readiness is withdrawn. */
    private static final Duration BALANCER_LAG = Duration.ofMillis(2500);

    /** Time for writing the ends of the requests that are in progress near the end of the grace. */
    private static final Duration END_MARGIN = Duration.ofMillis(500);

    /** Time for callers to read the last refusals and close their connections. */
    private static final Duration CLOSE_TIME = Duration.ofMillis(500);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    private final Scheduler mScheduler;
    private final Duration mGrace;
    private Optional<Long> mStartNs = Optional.empty();
    private Steps mSteps;
    private Consumer<Boolean> mOnEnd;
    private boolean mInterrupted;
    private Optional<Duration> mClosingSince = Optional.empty();
    private boolean mEnded;

    /** What is done at each phase. */
    interface Steps {
        /** Withdraws readiness and announces the stop to callers; requests are still served. */
        void withdraw();

        /** Refuses requests that arrive from now on. */
        void refuse();

        /** Ends each request in progress with a response that says whether it may have run. */
        void interrupt();

        /**
         * Stops accepting connections and closes those that wait for a request, as the process is
         * about to exit.
         */
        void closeIdle();

        /** Returns the number of connections that are not closed. */
        int connectionCount();

        /** Returns the number of requests that are being read, served or answered. */
        int openCount();
    }

    StopSequence(Scheduler scheduler, Duration grace) {
        mScheduler = scheduler;
        mGrace = grace;
    }

    /**
     * Starts the stop.
     *
     * @param steps what is done at each phase
     * @param onEnd receives whether all responses were written within the grace
     */
    void start(Steps steps, Consumer<Boolean> onEnd) {
        mStartNs = Optional.of(mScheduler.monotonicNs());
        mSteps = steps;
        mOnEnd = onEnd;
        mScheduler.schedule(mGrace, () -> end(false));
        mScheduler.schedule(interruptTime(), this::interrupt);
        mScheduler.schedule(refusalTime(), this::refuse);
        steps.withdraw();
    }

    private Duration interruptTime() {
        return max(mGrace.minus(END_MARGIN), mGrace.dividedBy(2));
    }

    private Duration refusalTime() {
        return min(BALANCER_LAG, interruptTime());
    }

    /**
     * Returns whether a request that has been read may be sent. During a stop one that may run only
     * once is not, unless its latency objective lies within the time that is left: its caller can
     * repeat it after a refusal, but not after an interruption.
     */
    boolean admits(GatewayRoute route) {
        if (mStartNs.isEmpty()) {
            return true;
        }
        return !mInterrupted
                && (route.retryable()
                        || route.targetLatency().compareTo(interruptTime().minus(elapsed())) <= 0);
    }

    /**
     * Returns the time that an upstream is given: what is left of the caller's deadline, during a
     * stop no more than what is left of the grace.
     *
     * @param deadline deadline of the caller, empty if it named none
     * @param requestAge time since the request arrived
     */
    Optional<Duration> limit(Optional<Duration> deadline, Duration requestAge) {
        Optional<Duration> time = deadline.map(d -> d.minus(requestAge));
        if (mStartNs.isEmpty()) {
            return time;
        }
        Duration left = max(mGrace.minus(elapsed()), Duration.ZERO);
        return Optional.of(time.map(t -> min(t, left)).orElse(left));
    }

    private void refuse() {
        mSteps.refuse();
        check();
    }

    private void interrupt() {
        if (!mEnded) {
            mInterrupted = true;
            mSteps.interrupt();
        }
    }

    /**
     * Closes connections until none is left that a request could come on, and ends the stop. What
     * arrives in the meantime is refused. Connections that are about to be closed by their callers
     * are waited for only a while.
     */
    private void check() {
        if (mEnded) {
            return;
        }
        boolean quiet = mSteps.openCount() == 0;
        if (quiet && areConnectionsClosed()) {
            end(true);
            return;
        }
        if (quiet || mInterrupted || mClosingSince.isPresent()) {
            mClosingSince = mClosingSince.or(() -> Optional.of(elapsed()));
            mSteps.closeIdle();
        }
        mScheduler.schedule(CHECK_PERIOD, this::check);
    }

    private boolean areConnectionsClosed() {
        return mClosingSince.isPresent()
                && (mSteps.connectionCount() == 0
                        || elapsed().minus(mClosingSince.get()).compareTo(CLOSE_TIME) >= 0);
    }

    private void end(boolean drained) {
        if (!mEnded) {
            mEnded = true;
            mOnEnd.accept(drained);
        }
    }

    private Duration elapsed() {
        return Duration.ofNanos(mScheduler.monotonicNs() - mStartNs.get());
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
