package org.amaranthpick.core.placement;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.UpstreamClient;

/**
 * Dependencies of placement.
 *
 * @param store object store
 * @param upstreams client of the engines
 * @param configuration configuration in force
 * @param board blackboard from which observations are read and to which routing holds are written
 * @param members known daemons
 * @param peers network of the daemons
 * @param scheduler clocks and timers
 * @param writers source of writer tokens
 * @param decisions log of all decisions
 * @param invariants runtime invariant checks
 * @param random source of jitter
 * @param settings durations and limits
 */
public record PlacementContext(
        ObjectStore store,
        UpstreamClient upstreams,
        ConfigurationView configuration,
        Blackboard board,
        MemberView members,
        PeerNetwork peers,
        Scheduler scheduler,
        WriterTokens writers,
        DecisionLog decisions,
        Invariants invariants,
        RandomGenerator random,
        PlacementSettings settings) {
    /** Returns the dependencies of leases and shard records. */
    LeaseContext lease() {
        return new LeaseContext(
                store,
                scheduler,
                writers,
                decisions,
                invariants,
                random,
                settings,
                members.self().host().key());
    }
}
