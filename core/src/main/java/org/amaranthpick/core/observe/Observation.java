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
 * Facade of the package: observes this daemon's share of the upstreams, tells the other daemons and
 * takes their digests, and follows cache events.
 */
public final class Observation {
    /** Prefixes kept in the index. */
    public static final int MAX_PREFIXES = 50_000;

    private final PrefixIndex mPrefixes = new PrefixIndex(MAX_PREFIXES);
    private final List<Controller> mControllers;

    /**
     * What observation works with.
     *
     * @param board blackboard whose upstream section is written
     * @param configuration configuration in force
     * @param members daemons
     * @param client client of the upstreams
     * @param peers network to the other daemons
     * @param scheduler clock
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
     * Assembles the parts and registers the handlers of their messages.
     *
     * @param context what observation works with
     */
    public Observation(Context context) {
        Assignments assignments = new Assignments(context.configuration(), context.members());
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
     * Returns the controllers to run.
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
