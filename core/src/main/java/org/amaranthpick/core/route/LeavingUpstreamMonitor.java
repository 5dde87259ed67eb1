package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.time.Scheduler;

/**
 * Checks the invariant that an upstream known to be leaving gets no new work after the grace time.
 */
final class LeavingUpstreamMonitor implements Controller {
    /** Time for which an upstream known to be leaving may still get new work. */
    static final Duration GRACE_TIME = Duration.ofSeconds(3);

    private static final Duration PERIOD = Duration.ofMillis(500);

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final Scheduler mScheduler;
    private final Invariants mInvariants;
    private final Map<Identity, Long> mLeavingSinceNs = new ConcurrentHashMap<>();

    LeavingUpstreamMonitor(
            Blackboard board,
            ConfigurationView configuration,
            Scheduler scheduler,
            Invariants invariants) {
        mBoard = board;
        mConfiguration = configuration;
        mScheduler = scheduler;
        mInvariants = invariants;
    }

    @Override
    public String name() {
        return "leaving-watch";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public void step() {
        Set<Identity> staying = new HashSet<>();
        Set<Identity> leaving = new HashSet<>();
        Optional<Configuration> configuration = mConfiguration.current();
        mBoard.upstreams()
                .forEach(
                        (upstream, observation) ->
                                (isLeaving(configuration, upstream, observation)
                                                ? leaving
                                                : staying)
                                        .add(upstream));
        mLeavingSinceNs.keySet().removeAll(staying);
        long nowNs = mScheduler.monotonicNs();
        leaving.forEach(upstream -> mLeavingSinceNs.putIfAbsent(upstream, nowNs));
    }

    /**
     * Checks the invariant for an upstream that is about to get new work.
     *
     * @param upstream identity of kind UPSTREAM
     */
    void check(Identity upstream) {
        Long sinceNs = mLeavingSinceNs.get(upstream);
        boolean holds =
                sinceNs == null || mScheduler.monotonicNs() - sinceNs <= GRACE_TIME.toNanos();
        mInvariants.check(
                Invariant.NOTHING_NEW_TO_LEAVING,
                holds,
                "new work sent to %s, which is leaving",
                upstream);
    }

    private static boolean isLeaving(
            Optional<Configuration> configuration,
            Identity upstream,
            UpstreamObservation observation) {
        Optional<UpstreamSpec> spec = configuration.flatMap(current -> current.upstream(upstream));
        return observation.status().leaving() || (configuration.isPresent() && spec.isEmpty());
    }
}
