package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.Optional;

/** Usual times of the requests of a service that were sent and answered. */
final class ServiceTimes {
    private static final double WEIGHT = 0.1;

    /** Weight of a first event that came later than usual, since the engine had no room for it. */
    private static final double DELAYED_WEIGHT = 0.01;

    /** Part of the latency objective that the first event takes before one was observed. */
    private static final double FIRST_EVENT_FRACTION = 0.5;

    private static final double NS_PER_MS = 1e6;

    /** Time that a request holds its memory before one was observed. */
    private static final double INITIAL_HOLD_NS = 3e9;

    private Optional<Double> mFirstEventNs = Optional.empty();
    private Optional<Double> mHoldNs = Optional.empty();

    void onFirstEvent(Duration time) {
        boolean delayed = mFirstEventNs.filter(mean -> time.toNanos() > mean).isPresent();
        mFirstEventNs = Optional.of(mean(mFirstEventNs, time, delayed ? DELAYED_WEIGHT : WEIGHT));
    }

    void onAnswered(Duration time) {
        mHoldNs = Optional.of(mean(mHoldNs, time, WEIGHT));
    }

    private static double mean(Optional<Double> before, Duration time, double weight) {
        double ns = (double) time.toNanos();
        return before.map(mean -> mean + weight * (ns - mean)).orElse(ns);
    }

    /** Returns the time from sending a request to its first event, at most the objective. */
    Duration firstEvent(Duration targetLatency) {
        double targetNs = (double) targetLatency.toNanos();
        // A full fleet answers late. The objective bounds what waiting here has to leave.
        double ns = Math.min(mFirstEventNs.orElse(FIRST_EVENT_FRACTION * targetNs), targetNs);
        return Duration.ofMillis((long) (ns / NS_PER_MS));
    }

    /** Returns the time for which a request holds its memory. */
    Duration hold() {
        return Duration.ofMillis((long) (mHoldNs.orElse(INITIAL_HOLD_NS) / NS_PER_MS));
    }
}
