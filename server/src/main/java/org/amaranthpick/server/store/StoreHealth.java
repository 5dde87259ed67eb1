package org.amaranthpick.server.store;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.time.Scheduler;

/**
 * Follows outages of the store. After several failures in a row calls are refused at once, and one
 * call at a time tries whether the store is back; after that the rate rises slowly. Pauses are
 * jittered, so that the daemons come back one by one. Guarded by the lock of its budget.
 */
final class StoreHealth {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final double FIRST_RATE = 0.1;

    private final Scheduler mScheduler;
    private final RandomGenerator mRandom;
    private final BudgetSettings mSettings;
    private final BudgetCounters mCounters;
    private int mFailures;
    private int mPauses;
    private boolean mPaused;
    private boolean mProbing;
    private long mProbeEndNs;
    private long mPauseEndNs;
    private long mRampStartNs;
    private long mRampNs;

    StoreHealth(
            Scheduler scheduler,
            RandomGenerator random,
            BudgetSettings settings,
            BudgetCounters counters) {
        mScheduler = scheduler;
        mRandom = random;
        mSettings = settings;
        mCounters = counters;
    }

    /** Takes the right to make a call; returns the time to wait if there is none now. */
    Optional<Duration> enter() {
        if (!mPaused) {
            return Optional.empty();
        }
        long nowNs = mScheduler.monotonicNs();
        long leftNs = mPauseEndNs - nowNs;
        if (leftNs > 0 || (mProbing && mProbeEndNs - nowNs > 0)) {
            return Optional.of(Duration.ofNanos(Math.max(leftNs, mSettings.pauseMin().toNanos())));
        }
        mProbing = true;
        mProbeEndNs = nowNs + mSettings.pauseMax().toNanos();
        return Optional.empty();
    }

    void onSuccess() {
        if (mPaused) {
            mRampStartNs = mScheduler.monotonicNs();
            mRampNs = jittered(mSettings.rampTime()).toNanos();
            sLogger.atInfo().log("store: it answers again, the rate rises over %d ms", rampMs());
        }
        mPaused = false;
        mProbing = false;
        mFailures = 0;
        mPauses = 0;
    }

    void onFailure(String reason) {
        mFailures++;
        if (mPaused && !mProbing) {
            return;
        }
        if (mPaused || mFailures >= mSettings.failuresToPause()) {
            pause(nextPause(), reason);
        }
    }

    void onThrottled(Duration retryAfter) {
        pause(jittered(retryAfter), "over the rate");
    }

    /** Returns the part of the full rate that may be used now. */
    double rate() {
        long sinceNs = mScheduler.monotonicNs() - mRampStartNs;
        if (mRampNs == 0 || sinceNs >= mRampNs) {
            return 1;
        }
        return FIRST_RATE + (1 - FIRST_RATE) * sinceNs / mRampNs;
    }

    private void pause(Duration pause, String reason) {
        if (!mPaused) {
            sLogger.atWarning().log("store: calls pause %d ms: %s", pause.toMillis(), reason);
        }
        mPaused = true;
        mProbing = false;
        mPauses++;
        mPauseEndNs = mScheduler.monotonicNs() + pause.toNanos();
        mCounters.countPause();
    }

    private Duration nextPause() {
        long baseMs = mSettings.pauseMin().toMillis() << Math.min(mPauses, 10);
        return jittered(Duration.ofMillis(Math.min(baseMs, mSettings.pauseMax().toMillis())));
    }

    /** Returns a time between half of the given one and one and a half of it. */
    private Duration jittered(Duration time) {
        return Duration.ofNanos(Math.round(time.toNanos() * (0.5 + mRandom.nextDouble())));
    }

    private long rampMs() {
        return Duration.ofNanos(mRampNs).toMillis();
    }
}
