package org.amaranthpick.core.retry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.time.Scheduler;

/**
 * Raises the share of an upstream in equal steps after it is first observed or has restarted.
 * Upstreams that are already there when this daemon starts count as warm.
 */
public final class RampSlowStart implements SlowStart, Controller {
    /** Time from the first step to the full share. */
    public static final Duration RAMP_DURATION = Duration.ofSeconds(30);

    private static final int STEPS = 8;
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final Blackboard mBoard;
    private final Scheduler mScheduler;
    private final Map<Identity, Start> mStarts = new ConcurrentHashMap<>();
    private boolean mSawUpstreams;

    /** Start of an upstream as observed by this daemon. */
    private record Start(String bootId, long atNs) {}

    /**
     * Creates a slow start.
     *
     * @param board blackboard with the observed upstreams
     * @param scheduler clock
     */
    public RampSlowStart(Blackboard board, Scheduler scheduler) {
        mBoard = board;
        mScheduler = scheduler;
    }

    @Override
    public String name() {
        return "slow-start";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public void step() {
        long warmSinceNs = mScheduler.monotonicNs() - RAMP_DURATION.toNanos();
        long nowNs = mSawUpstreams ? mScheduler.monotonicNs() : warmSinceNs;
        mBoard.upstreams()
                .forEach((upstream, observation) -> recordStart(upstream, observation, nowNs));
        mSawUpstreams |= !mStarts.isEmpty();
    }

    @Override
    public double capacityShare(Identity upstream) {
        Start start = mStarts.get(upstream);
        if (start == null) {
            return 1;
        }
        long elapsedNs = mScheduler.monotonicNs() - start.atNs();
        long step = 1 + elapsedNs * STEPS / RAMP_DURATION.toNanos();
        return Math.min(STEPS, step) / (double) STEPS;
    }

    private void recordStart(Identity upstream, UpstreamObservation observation, long nowNs) {
        String bootId = observation.status().bootId();
        if (bootId.isEmpty()) {
            return;
        }
        Start known = mStarts.get(upstream);
        if (known == null || !known.bootId().equals(bootId)) {
            mStarts.put(upstream, new Start(bootId, nowNs));
        }
    }
}
