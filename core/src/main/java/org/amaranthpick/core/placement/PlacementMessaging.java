package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerMessage;

/**
 * Exchanges placement messages with other daemons: applies and relays received notices and
 * announces the loads of own shards.
 */
final class PlacementMessaging {
    private static final long LOADS_ANNOUNCEMENT_INTERVAL_NS = 5_000_000_000L;
    private static final long IDLE_ANNOUNCEMENT_INTERVAL_NS = 10_000_000_000L;

    private final PlacementContext mContext;
    private final HoldTable mHolds;
    private final WeightLoadBudget mBudget;
    private final ShardCandidates mCandidates;
    private final Map<Identity, AnnouncedLoads> mAnnounced = new HashMap<>();

    private record AnnouncedLoads(int loads, long announcedNs) {}

    PlacementMessaging(PlacementContext context, HoldTable holds, WeightLoadBudget budget) {
        mContext = context;
        mHolds = holds;
        mBudget = budget;
        mCandidates = new ShardCandidates(context.members());
    }

    /** Registers the message handlers. */
    void register() {
        mContext.peers().handle(PlacementMessage.HOLD_NOTICE, this::onHoldNotice);
        mContext.peers().handle(PlacementMessage.LOAD_NOTICE, this::onLoadNotice);
    }

    private void onHoldNotice(Identity from, PeerMessage message) {
        PlacementMessage.HoldNotice notice = (PlacementMessage.HoldNotice) message;
        if (mHolds.apply(notice) && notice.relay()) {
            relay(notice);
        }
    }

    private void relay(PlacementMessage.HoldNotice notice) {
        PlacementMessage.HoldNotice local =
                new PlacementMessage.HoldNotice(
                        notice.shard(), notice.fence(), notice.sequence(), false, notice.holds());
        Member self = mContext.members().self();
        for (Member member : mContext.members().members()) {
            if (member.domain().equals(self.domain()) && !member.host().equals(self.host())) {
                mContext.peers().send(member.host(), local);
            }
        }
    }

    private void onLoadNotice(Identity from, PeerMessage message) {
        mBudget.apply((PlacementMessage.LoadNotice) message);
    }

    /**
     * Announces to the candidates of all shards of a fleet how many loads this daemon's shards
     * request.
     *
     * @param configuration configuration in force
     * @param own shards that this daemon owns
     */
    void announceLoads(Configuration configuration, List<ShardStatus> own) {
        for (ShardStatus shard : own) {
            if (isDue(shard)) {
                announce(configuration, shard);
            }
        }
    }

    private boolean isDue(ShardStatus shard) {
        AnnouncedLoads last = mAnnounced.get(shard.domain());
        long nowNs = mContext.scheduler().monotonicNs();
        long intervalNs =
                shard.requestedLoads() > 0
                        ? LOADS_ANNOUNCEMENT_INTERVAL_NS
                        : IDLE_ANNOUNCEMENT_INTERVAL_NS;
        boolean due =
                last == null
                        || last.loads() != shard.requestedLoads()
                        || nowNs - last.announcedNs() >= intervalNs;
        if (due) {
            mAnnounced.put(shard.domain(), new AnnouncedLoads(shard.requestedLoads(), nowNs));
        }
        return due;
    }

    private void announce(Configuration configuration, ShardStatus shard) {
        PlacementMessage.LoadNotice notice =
                new PlacementMessage.LoadNotice(
                        shard.domain(), shard.fence(), shard.requestedLoads());
        mBudget.apply(notice);
        Set<Identity> receivers = new HashSet<>();
        for (DomainSpec domain : configuration.manifest().domains()) {
            if (domain.id().fleet().equals(shard.domain().fleet())) {
                receivers.addAll(mCandidates.hosts(configuration, domain));
            }
        }
        receivers.remove(mContext.members().self().host());
        receivers.forEach(host -> mContext.peers().send(host, notice));
    }
}
