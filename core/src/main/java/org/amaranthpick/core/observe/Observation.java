package org.amaranthpick.core.observe;

import java.util.List;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.ConfigurationView;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.peer.PeerNetwork;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.UpstreamClient;

/**
 * Entry point of the package: polls the upstreams assigned to this daemon, exchanges digests of
 * their state with the other daemons, and follows the cache events of engines.
 */
public final class Observation {
    /** Maximum number of prefixes in the index. */
    public static final int MAX_PREFIXES = 50_000;

    private final PrefixIndex mPrefixes = new PrefixIndex(MAX_PREFIXES);
    private final List<Controller> mControllers;

    /**
     * Dependencies of the observation.
     *
     * @param board blackboard whose upstream section is written
     * @param configuration configuration in force
     * @param members view of the daemons in the membership
     * @param client client of the upstreams
     * @param peers network to the other daemons
     * @param scheduler source of time
     * @param settings rates of the digests
     */
    public record Context(
            Blackboard board,
            ConfigurationView configuration,
            MemberView members,
            UpstreamClient client,
            PeerNetwork peers,
            Scheduler scheduler,
            DigestSettings settings) {}

    /**
     * Creates the controllers and registers the handlers of peer messages.
     *
     * @param context dependencies
     */
    public Observation(Context context) {
        ObserverAssignments assignments =
                new ObserverAssignments(context.configuration(), context.members());
        DigestReceiver receiver = new DigestReceiver(context, assignments);
        mControllers =
                List.of(
                        new UpstreamPoller(
                                context.board(),
                                assignments,
                                context.client(),
                                context.scheduler()),
                        new DigestSender(context, assignments, receiver),
                        new CacheEventFollower(context, assignments, mPrefixes));
    }

    /**
     * Returns the controllers that the caller must run.
     *
     * @return controllers
     */
    public List<Controller> controllers() {
        return mControllers;
    }

    /**
     * Returns the index of prompt prefixes held by engines.
     *
     * @return index
     */
    public PrefixIndex prefixes() {
        return mPrefixes;
    }
}
