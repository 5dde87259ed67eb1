package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthpick.core.board.Controller;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Placement on one daemon. For each failure domain that the daemon is a candidate for, it competes
 * for the lease of the control shard; while it holds the lease, it plans and issues orders.
 */
public final class PlacementService implements Controller, AutoCloseable {
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration RANK_PERIOD = Duration.ofSeconds(2);

    private final PlacementContext mContext;
    private final PlacementPolicy mPolicy;
    private final HoldTable mHolds;
    private final WeightLoadBudget mBudget;
    private final PlacementMessaging mMessaging;
    private final ShardCandidates mCandidates;
    private final Map<Identity, ControlShard> mShards = new TreeMap<>();
    private final Map<Identity, Integer> mRanks = new HashMap<>();
    private long mNextRankNs;
    private long mRankedGeneration;
    private boolean mClosed;

    /**
     * Creates the service with the policy for production.
     *
     * @param context dependencies of placement
     */
    public PlacementService(PlacementContext context) {
        this(context, PlacementPolicy.defaults(context.board(), context.configuration()));
    }

    /**
     * Creates the service and registers its message handlers.
     *
     * @param context dependencies of placement
     * @param policy planner and the sources of demand and link state
     */
    public PlacementService(PlacementContext context, PlacementPolicy policy) {
        mContext = context;
        mPolicy = policy;
        mHolds = new HoldTable(context);
        mBudget = new WeightLoadBudget(context.scheduler());
        mMessaging = new PlacementMessaging(context, mHolds, mBudget);
        mCandidates = new ShardCandidates(context.members());
        mMessaging.register();
    }

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public Duration period() {
        return PERIOD;
    }

    @Override
    public synchronized void step() {
        Optional<Configuration> configuration = mContext.configuration().current();
        if (mClosed || configuration.isEmpty()) {
            return;
        }
        mHolds.expire();
        rankIfDue(configuration.get());
        for (DomainSpec domain : configuration.get().manifest().domains()) {
            Optional<Integer> rank = Optional.ofNullable(mRanks.get(domain.id()));
            ControlShard shard = mShards.get(domain.id());
            if (shard == null && rank.isPresent()) {
                shard = new ControlShard(domain.id(), mContext, mPolicy, mHolds, mBudget);
                mShards.put(domain.id(), shard);
            }
            if (shard != null) {
                shard.step(configuration.get(), rank);
            }
        }
        mMessaging.announceLoads(configuration.get(), status());
    }

    private void rankIfDue(Configuration configuration) {
        long nowNs = mContext.scheduler().monotonicNs();
        if (nowNs < mNextRankNs && configuration.generation() == mRankedGeneration) {
            return;
        }
        mNextRankNs = nowNs + RANK_PERIOD.toNanos();
        mRankedGeneration = configuration.generation();
        mRanks.clear();
        for (DomainSpec domain : configuration.manifest().domains()) {
            mCandidates
                    .rank(configuration, domain)
                    .ifPresent(rank -> mRanks.put(domain.id(), rank));
        }
    }

    /**
     * Returns the leases that this daemon holds at present.
     *
     * @return lease by failure domain
     */
    public synchronized Map<Identity, Lease> leases() {
        Map<Identity, Lease> leases = new TreeMap<>();
        mShards.forEach((id, shard) -> shard.lease().ifPresent(lease -> leases.put(id, lease)));
        return leases;
    }

    /**
     * Returns the state of the control shards that this daemon owns.
     *
     * @return states sorted by domain
     */
    public synchronized List<ShardStatus> status() {
        return mShards.values().stream().flatMap(shard -> shard.status().stream()).toList();
    }

    /** Releases every lease and stops sending orders. */
    @Override
    public synchronized void close() {
        mClosed = true;
        mShards.values().forEach(ControlShard::close);
    }
}
