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

/** Checks that an upstream known to leave gets nothing new once the grace time is over. */
final class LeavingWatch implements Controller {
    /** Time after which nothing new may go to an upstream known to leave. */
    static final Duration GRACE = Duration.ofSeconds(3);

    private static final Duration PERIOD = Duration.ofMillis(500);

    private final Blackboard mBoard;
    private final ConfigurationView mConfiguration;
    private final Scheduler mScheduler;
    private final Invariants mInvariants;
    private final Map<Identity, Long> mLeavingSinceNs = new ConcurrentHashMap<>();

    LeavingWatch(
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
                        (upstream, seen) ->
                                (leaves(configuration, upstream, seen) ? leaving : staying)
                                        .add(upstream));
        mLeavingSinceNs.keySet().removeAll(staying);
        long nowNs = mScheduler.monotonicNs();
        leaving.forEach(upstream -> mLeavingSinceNs.putIfAbsent(upstream, nowNs));
    }

    /**
     * Checks an upstream that is about to get new work.
     *
     * @param upstream the upstream
     */
    void check(Identity upstream) {
        Long sinceNs = mLeavingSinceNs.get(upstream);
        boolean holds = sinceNs == null || mScheduler.monotonicNs() - sinceNs <= GRACE.toNanos();
        mInvariants.check(
                Invariant.NOTHING_NEW_TO_LEAVING, holds, "new work for %s, which leaves", upstream);
    }

    private static boolean leaves(
            Optional<Configuration> configuration, Identity upstream, UpstreamObservation seen) {
        Optional<UpstreamSpec> spec = configuration.flatMap(c -> c.upstream(upstream));
        return seen.status().leaving() || (configuration.isPresent() && spec.isEmpty());
    }
}
