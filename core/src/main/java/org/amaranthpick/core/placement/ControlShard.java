package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Control shard of one failure domain on one daemon: holds its lease, plans and issues orders.
 * Guarded by its own lock.
 */
final class ControlShard {
    /** Time for which an engine is pinned after the last chain blocked its change. */
    private static final long PIN_DURATION_NS = 300_000_000_000L;

    /** Time after which an owner that is not a candidate any more releases the lease. */
    private static final long HAND_OVER_DELAY_NS = 60_000_000_000L;

    private final Identity mDomain;
    private final PlacementContext mContext;
    private final PlacementPolicy mPolicy;
    private final LeaseManager mLease;
    private final ShardRecordStore mRecordStore;
    private final HoldAnnouncer mHolds;
    private final EngineHealth mHealth;
    private final OrderSender mSender;
    private final OrderIssuer mIssuer;
    private final ModelRequirements mRequirements;
    private Map<Identity, List<UpstreamSpec.Holding>> mPlannedHoldings = new HashMap<>();
    private final Map<Identity, Long> mPinnedUntilNs = new HashMap<>();
    private Optional<PlanInput> mLastInput = Optional.empty();
    private Set<Identity> mExcluded = Set.of();
    private long mFence;
    private long mFenceFloor;
    private long mNextPlanNs;
    private long mNextTakeOverNs;
    private long mLastCandidateNs;
    private Phase mPhase = Phase.IDLE;

    /** State of the shard on this daemon. */
    enum Phase {
        IDLE,
        TAKING_OVER,
        ACTIVE
    }

    ControlShard(
            Identity domain,
            PlacementContext context,
            PlacementPolicy policy,
            HoldTable holds,
            WeightLoadBudget budget) {
        mDomain = domain;
        mContext = context;
        mPolicy = policy;
        mLease = new LeaseManager(domain.key(), context.lease(), this, this::fenceFloor);
        mRecordStore = new ShardRecordStore(domain, context, this);
        mHolds = new HoldAnnouncer(domain, context, holds);
        EngineTrust trust = new EngineTrust(context.scheduler());
        mHealth = new EngineHealth(context, trust);
        mSender =
                new OrderSender(
                        domain, context, this, mRecordStore, mLease, mHolds, trust, this::onFenced);
        mIssuer = new OrderIssuer(domain, context, mHolds, budget, mSender);
        mRequirements = new ModelRequirements(context, policy.demand());
    }

    synchronized Optional<Lease> lease() {
        return mLease.held();
    }

    synchronized Optional<ShardStatus> status() {
        return mLease.held()
                .map(
                        l ->
                                new ShardStatus(
                                        mDomain,
                                        l.fence(),
                                        mIssuer.openOrders(),
                                        mIssuer.requestedLoads()));
    }

    synchronized void step(Configuration configuration, Optional<Integer> rank) {
        mLease.step(rank);
        Optional<Lease> lease = mLease.held();
        if (lease.isPresent() && isHandOverDue(rank)) {
            mLease.release();
            lease = Optional.empty();
        }
        if (lease.isEmpty()) {
            stop();
            return;
        }
        if (mPhase == Phase.IDLE || lease.get().fence() != mFence) {
            takeOver(lease.get());
        }
        if (mPhase == Phase.ACTIVE) {
            control(configuration, lease.get());
        }
    }

    private boolean isHandOverDue(Optional<Integer> rank) {
        long nowNs = mContext.scheduler().monotonicNs();
        if (rank.isPresent()) {
            mLastCandidateNs = nowNs;
        }
        return nowNs - mLastCandidateNs > HAND_OVER_DELAY_NS;
    }

    synchronized void close() {
        stop();
        mLease.release();
    }

    private void stop() {
        if (mPhase != Phase.IDLE) {
            mPhase = Phase.IDLE;
            mHolds.stop();
            mPlannedHoldings = new HashMap<>();
        }
    }

    private void takeOver(Lease lease) {
        mContext.invariants()
                .check(
                        Invariant.FENCE_NEVER_FALLS,
                        lease.fence() >= mFence,
                        "shard %s: acquired with fence %d after fence %d",
                        mDomain,
                        lease.fence(),
                        mFence);
        long nowNs = mContext.scheduler().monotonicNs();
        if (mRecordStore.isBusy() || nowNs < mNextTakeOverNs) {
            return;
        }
        long retryNs = mContext.settings().renewPeriod().toNanos();
        mNextTakeOverNs = nowNs + mContext.random().nextLong(retryNs / 2, retryNs);
        mFence = lease.fence();
        mPhase = Phase.TAKING_OVER;
        mRecordStore.takeOver(lease.fence(), result -> onTakenOver(lease, result));
    }

    private void onTakenOver(Lease lease, ShardRecordStore.Result result) {
        if (result == ShardRecordStore.Result.SUPERSEDED) {
            onFenced(mRecordStore.record().fence());
        } else if (result == ShardRecordStore.Result.RETRY || lease.fence() != mFence) {
            mPhase = Phase.IDLE;
        } else {
            mPhase = Phase.ACTIVE;
            mPlannedHoldings = mRecordStore.record().holdings();
            mSender.resetSequence();
            mIssuer.reset();
            mHealth.reset();
            mHolds.reset(lease.fence());
            mNextPlanNs = mContext.scheduler().monotonicNs();
            mLastInput = Optional.empty();
        }
    }

    private void onFenced(long fence) {
        mFenceFloor = Math.max(mFenceFloor, fence);
        if (fence >= mFence && mPhase != Phase.IDLE) {
            mContext.decisions()
                    .record(
                            DecisionKind.LEASE,
                            mDomain.key(),
                            "lease abandoned: fence "
                                    + fence
                                    + " was observed, own fence is "
                                    + mFence);
            mLease.abandon();
            stop();
        }
    }

    /**
     * Returns the highest fencing number seen in refusals and in reports of engines of the domain.
     */
    private long fenceFloor() {
        long[] floor = {mFenceFloor};
        mContext.board()
                .upstreams()
                .forEach(
                        (id, observation) -> {
                            boolean own =
                                    mContext.configuration()
                                            .current()
                                            .flatMap(c -> c.upstream(id))
                                            .filter(u -> u.domain().equals(mDomain))
                                            .isPresent();
                            if (own) {
                                floor[0] =
                                        Math.max(floor[0], observation.status().fence().orElse(0L));
                            }
                        });
        return floor[0];
    }

    private void control(Configuration configuration, Lease lease) {
        EngineSnapshot snapshot =
                new EngineSnapshot(configuration, mContext.board(), mHealth, mDomain);
        long nowNs = mContext.scheduler().monotonicNs();
        if (nowNs >= mNextPlanNs) {
            mNextPlanNs = nowNs + mContext.settings().planPeriod().toNanos();
            plan(configuration, snapshot);
        }
        mIssuer.step(configuration, snapshot, lease);
        mHolds.step();
    }

    private void plan(Configuration configuration, EngineSnapshot snapshot) {
        logExclusions(snapshot);
        List<ModelRequirement> requirements = mRequirements.current(configuration);
        Set<Identity> pinned = new HashSet<>(updatePinned());
        pinned.addAll(snapshot.unknownEngines());
        PlanInput input =
                new PlanInput(
                        snapshot.views(this::plannedOrHeld),
                        requirements,
                        Set.of(mDomain),
                        pinned,
                        cutOff(configuration));
        if (mLastInput.filter(input::equals).isPresent()) {
            return;
        }
        mLastInput = Optional.of(input);
        Plan plan = mPolicy.planner().plan(input);
        logChanges(snapshot, plan);
        mPlannedHoldings = new HashMap<>(plan.targets());
        Set<Identity> requiredModels =
                requirements.stream()
                        .filter(requirement -> !requirement.retired())
                        .map(requirement -> requirement.model().id())
                        .collect(Collectors.toSet());
        mIssuer.setTargets(plan.targets(), requiredModels);
    }

    private List<UpstreamSpec.Holding> plannedOrHeld(EngineSnapshot.Entry entry) {
        boolean own = entry.spec().domain().equals(mDomain);
        List<UpstreamSpec.Holding> planned = own ? mPlannedHoldings.get(entry.spec().id()) : null;
        return planned != null && !planned.isEmpty() ? planned : entry.holdings();
    }

    /** Returns the engines that must not change for now, so that plans are made around them. */
    private Set<Identity> updatePinned() {
        long nowNs = mContext.scheduler().monotonicNs();
        mPinnedUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
        for (Identity engine : mIssuer.blocked()) {
            mPinnedUntilNs.put(engine, nowNs + PIN_DURATION_NS);
            mPlannedHoldings.remove(engine);
            log(engine, "pinned: its change would break the last chain");
        }
        return mPinnedUntilNs.keySet();
    }

    private Set<Identity> cutOff(Configuration configuration) {
        return configuration.manifest().domains().stream()
                .map(DomainSpec::id)
                .filter(id -> !id.equals(mDomain))
                .filter(id -> mPolicy.links().isDegraded(mDomain, id))
                .collect(Collectors.toSet());
    }

    private void logExclusions(EngineSnapshot snapshot) {
        Set<Identity> excluded = new HashSet<>();
        for (EngineSnapshot.Entry entry : snapshot.entries().values()) {
            if (entry.isExcluded() && entry.spec().domain().equals(mDomain)) {
                excluded.add(entry.spec().id());
                if (!mExcluded.contains(entry.spec().id())) {
                    log(entry.spec().id(), "excluded from plans: " + entry.assessment().reason());
                }
            }
        }
        mExcluded.stream()
                .filter(id -> !excluded.contains(id))
                .sorted()
                .forEach(id -> log(id, "included in plans again"));
        mExcluded = excluded;
    }

    private void logChanges(EngineSnapshot snapshot, Plan plan) {
        plan.targets().keySet().stream()
                .sorted()
                .forEach(
                        id -> {
                            List<UpstreamSpec.Holding> target = plan.targets().get(id);
                            List<UpstreamSpec.Holding> before =
                                    snapshot.entry(id).map(this::plannedOrHeld).orElse(List.of());
                            if (!Holdings.sameHoldings(before, target)) {
                                log(
                                        id,
                                        "target "
                                                + OrderSender.format(target)
                                                + " replaces "
                                                + OrderSender.format(before));
                            }
                        });
    }

    private void log(Identity engine, String text) {
        mContext.decisions().record(DecisionKind.PLACEMENT, engine.key(), text);
    }
}
