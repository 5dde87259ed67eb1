package org.amaranthpick.core.room;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.amaranthpick.core.register.DutyRanking;
import org.amaranthpick.core.register.PeerDaemon;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Divides the observation of engines among the daemons of their failure domain, in groups that a
 * small host can query. The daemon that ranks highest for a group has the duty; the next ones take
 * over in turn when they hear nothing of the group, since daemons die and are cut off at any time.
 * Two daemons that both observe a group cost a few queries. Confined to one thread.
 */
final class ObservationDuties {
    /** Engines in a group. */
    private static final int GROUP_SIZE = 32;

    /** Daemons that take over, in the order of their rank; they are told even on calm days. */
    private static final int SUCCESSORS = 2;

    /** Time for which the daemon before in rank may be silent. */
    static final Duration TAKEOVER_TIME = Duration.ofSeconds(3);

    private final String mSelf;
    private final String mDomain;
    private final Supplier<List<PeerDaemon>> mDaemons;
    private final Map<String, Long> mHeardNs = new HashMap<>();
    private final Map<String, List<String>> mRankings = new HashMap<>();
    private List<PeerDaemon> mRanked = List.of();

    /**
     * Creates the duties of a daemon.
     *
     * @param self address at which this daemon accepts messages
     * @param domain failure domain of this daemon
     * @param daemons returns the other daemons
     */
    ObservationDuties(String self, String domain, Supplier<List<PeerDaemon>> daemons) {
        mSelf = self;
        mDomain = domain;
        mDaemons = daemons;
    }

    /** Records that another daemon observes a group, if this one may have to. */
    void onHeard(String duty, long nowNs) {
        mHeardNs.computeIfPresent(duty, (known, heardNs) -> nowNs);
    }

    /** Returns the groups of the engines of this domain, by name. */
    Map<String, List<UpstreamEntry>> groups(List<UpstreamEntry> engines) {
        List<UpstreamEntry> local =
                engines.stream()
                        .filter(entry -> entry.domain().equals(mDomain))
                        .filter(entry -> entry.layers().isPresent())
                        .toList();
        int count = (local.size() + GROUP_SIZE - 1) / GROUP_SIZE;
        Map<String, List<UpstreamEntry>> groups = new TreeMap<>();
        for (UpstreamEntry entry : local) {
            String duty =
                    entry.service()
                            + "/"
                            + mDomain
                            + "/"
                            + Math.floorMod(entry.id().hashCode(), count);
            groups.computeIfAbsent(duty, key -> new ArrayList<>()).add(entry);
        }
        mHeardNs.keySet().retainAll(groups.keySet());
        mRankings.keySet().retainAll(groups.keySet());
        return groups;
    }

    /** Returns whether this daemon observes a group now. */
    boolean hasDuty(String duty, long nowNs) {
        int rank = ranking(duty).indexOf(mSelf);
        long heardNs = mHeardNs.computeIfAbsent(duty, key -> nowNs);
        return rank <= SUCCESSORS && nowNs - heardNs >= rank * TAKEOVER_TIME.toNanos();
    }

    /** Returns the daemons that may observe a group beside this one. */
    List<String> successors(String duty) {
        return ranking(duty).stream()
                .limit(SUCCESSORS + 1)
                .filter(address -> !address.equals(mSelf))
                .toList();
    }

    /** Returns the daemons of this domain by rank, worked out again only when others are known. */
    private List<String> ranking(String duty) {
        List<PeerDaemon> daemons = mDaemons.get();
        if (!daemons.equals(mRanked)) {
            mRanked = daemons;
            mRankings.clear();
        }
        return mRankings.computeIfAbsent(duty, this::rank);
    }

    private List<String> rank(String duty) {
        List<String> candidates = new ArrayList<>();
        candidates.add(mSelf);
        mRanked.stream()
                .filter(daemon -> daemon.domain().equals(mDomain))
                .forEach(daemon -> candidates.add(daemon.address()));
        return DutyRanking.rank(duty, candidates);
    }
}
