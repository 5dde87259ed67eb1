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

/** Messages of placement between daemons: takes notices, passes holds on, tells own loads. */
final class PlacementPeers {
    private static final long LOADS_REPEAT_NS = 5_000_000_000L;
    private static final long IDLE_REPEAT_NS = 10_000_000_000L;

    private final PlacementContext mContext;
    private final HoldTable mHolds;
    private final WeightBudget mBudget;
    private final Candidates mCandidates;
    private final Map<Identity, Told> mTold = new HashMap<>();

    private record Told(int loads, long atNs) {}

    PlacementPeers(PlacementContext context, HoldTable holds, WeightBudget budget) {
        mContext = context;
        mHolds = holds;
        mBudget = budget;
        mCandidates = new Candidates(context.members());
    }

    /** Registers the message handlers. */
    void register() {
        mContext.peers().handle(PlacementMessage.HOLD_NOTICE, this::onHoldNotice);
        mContext.peers().handle(PlacementMessage.LOAD_NOTICE, this::onLoadNotice);
    }

    private void onHoldNotice(Identity from, PeerMessage message) {
        PlacementMessage.HoldNotice notice = (PlacementMessage.HoldNotice) message;
        if (mHolds.take(notice) && notice.relay()) {
            passOn(notice);
        }
    }

    private void passOn(PlacementMessage.HoldNotice notice) {
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
        mBudget.take((PlacementMessage.LoadNotice) message);
    }

    /**
     * Tells the candidates of the other shards of a fleet how many loads the own shards want.
     *
     * @param configuration configuration in force
     * @param own shards that this daemon owns
     */
    void tellLoads(Configuration configuration, List<ShardStatus> own) {
        for (ShardStatus shard : own) {
            if (isDue(shard)) {
                tell(configuration, shard);
            }
        }
    }

    private boolean isDue(ShardStatus shard) {
        Told before = mTold.get(shard.domain());
        long nowNs = mContext.scheduler().monotonicNs();
        long repeatNs = shard.loadsWanted() > 0 ? LOADS_REPEAT_NS : IDLE_REPEAT_NS;
        boolean due =
                before == null
                        || before.loads() != shard.loadsWanted()
                        || nowNs - before.atNs() >= repeatNs;
        if (due) {
            mTold.put(shard.domain(), new Told(shard.loadsWanted(), nowNs));
        }
        return due;
    }

    private void tell(Configuration configuration, ShardStatus shard) {
        PlacementMessage.LoadNotice notice =
                new PlacementMessage.LoadNotice(shard.domain(), shard.fence(), shard.loadsWanted());
        mBudget.take(notice);
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
