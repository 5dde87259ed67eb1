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
 * What placement works with.
 *
 * @param store object API of the platform
 * @param upstreams speaks to engines
 * @param configuration configuration in force
 * @param board observations are read there, holds are written there
 * @param members daemons known
 * @param peers messages to other daemons
 * @param scheduler clocks and timers
 * @param writers source of writer tokens
 * @param decisions told of every decision
 * @param invariants checks asserted
 * @param random source of jitter
 * @param settings times and limits
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
    /** Returns the part that leases and journals work with. */
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
