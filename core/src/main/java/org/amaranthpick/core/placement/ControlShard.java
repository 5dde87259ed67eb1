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

/** Control shard of one failure domain as seen by one daemon. Guarded by its own lock. */
final class ControlShard {
    private static final long PINNED_NS = 300_000_000_000L;
    private static final long HAND_OVER_NS = 60_000_000_000L;

    private final Identity mDomain;
    private final PlacementContext mContext;
    private final PlacementPolicy mPolicy;
    private final LeaseKeeper mLease;
    private final ShardJournal mJournal;
    private final HoldAnnouncer mHolds;
    private final EngineHealth mHealth;
    private final OrderSender mSender;
    private final OrderIssuer mIssuer;
    private final ModelNeeds mNeeds;
    private Map<Identity, List<UpstreamSpec.Holding>> mTold = new HashMap<>();
    private final Map<Identity, Long> mPinnedUntilNs = new HashMap<>();
    private Optional<PlanInput> mLastInput = Optional.empty();
    private Set<Identity> mUnusable = Set.of();
    private long mFence;
    private long mFenceFloor;
    private long mNextPlanNs;
    private long mNextOpenNs;
    private long mLastCandidateNs;
    private Phase mPhase = Phase.IDLE;

    /** What the shard does at present. */
    enum Phase {
        IDLE,
        OPENING,
        ACTIVE
    }

    ControlShard(
            Identity domain,
            PlacementContext context,
            PlacementPolicy policy,
            HoldTable holds,
            WeightBudget budget) {
        mDomain = domain;
        mContext = context;
        mPolicy = policy;
        mLease = new LeaseKeeper(domain.key(), context.lease(), this, this::fenceFloor);
        mJournal = new ShardJournal(domain, context, this);
        mHolds = new HoldAnnouncer(domain, context, holds);
        TrustTable trust = new TrustTable(context.scheduler());
        mHealth = new EngineHealth(context, trust);
        mSender =
                new OrderSender(
                        domain, context, this, mJournal, mLease, mHolds, trust, this::onFenced);
        mIssuer = new OrderIssuer(domain, context, mHolds, budget, mSender);
        mNeeds = new ModelNeeds(context, policy.demand());
    }

    synchronized Optional<Lease> lease() {
        return mLease.held();
    }

    synchronized Optional<ShardStatus> status() {
        return mLease.held()
                .map(
                        l ->
                                new ShardStatus(
                                        mDomain, l.fence(), mIssuer.open(), mIssuer.loadsWanted()));
    }

    synchronized void step(Configuration configuration, Optional<Integer> rank) {
        mLease.step(rank);
        Optional<Lease> lease = mLease.held();
        if (lease.isPresent() && servedTooLongFromAfar(rank)) {
            mLease.release();
            lease = Optional.empty();
        }
        if (lease.isEmpty()) {
            stop();
            return;
        }
        if (mPhase == Phase.IDLE || lease.get().fence() != mFence) {
            open(lease.get());
        }
        if (mPhase == Phase.ACTIVE) {
            control(configuration, lease.get());
        }
    }

    private boolean servedTooLongFromAfar(Optional<Integer> rank) {
        long nowNs = mContext.scheduler().monotonicNs();
        if (rank.isPresent()) {
            mLastCandidateNs = nowNs;
        }
        return nowNs - mLastCandidateNs > HAND_OVER_NS;
    }

    synchronized void close() {
        stop();
        mLease.release();
    }

    private void stop() {
        if (mPhase != Phase.IDLE) {
            mPhase = Phase.IDLE;
            mHolds.stop();
            mTold = new HashMap<>();
        }
    }

    private void open(Lease lease) {
        mContext.invariants()
                .check(
                        Invariant.FENCE_NEVER_FALLS,
                        lease.fence() >= mFence,
                        "shard %s: own fence %d after %d",
                        mDomain,
                        lease.fence(),
                        mFence);
        long nowNs = mContext.scheduler().monotonicNs();
        if (mJournal.busy() || nowNs < mNextOpenNs) {
            return;
        }
        long retryNs = mContext.settings().renewPeriod().toNanos();
        mNextOpenNs = nowNs + mContext.random().nextLong(retryNs / 2, retryNs);
        mFence = lease.fence();
        mPhase = Phase.OPENING;
        mJournal.open(lease.fence(), result -> onOpened(lease, result));
    }

    private void onOpened(Lease lease, ShardJournal.Result result) {
        if (result == ShardJournal.Result.OVERTAKEN) {
            onFenced(mJournal.record().fence());
        } else if (result == ShardJournal.Result.RETRY || lease.fence() != mFence) {
            mPhase = Phase.IDLE;
        } else {
            mPhase = Phase.ACTIVE;
            mTold = mJournal.record().holdings();
            mSender.start();
            mIssuer.start();
            mHealth.start();
            mHolds.start(lease.fence());
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
                            "gives way: fence " + fence + " was seen, own is " + mFence);
            mLease.abandon();
            stop();
        }
    }

    private long fenceFloor() {
        long[] floor = {mFenceFloor};
        mContext.board()
                .upstreams()
                .forEach(
                        (id, seen) -> {
                            boolean own =
                                    mContext.configuration()
                                            .current()
                                            .flatMap(c -> c.upstream(id))
                                            .filter(u -> u.domain().equals(mDomain))
                                            .isPresent();
                            if (own) {
                                floor[0] = Math.max(floor[0], seen.status().fence().orElse(0L));
                            }
                        });
        return floor[0];
    }

    private void control(Configuration configuration, Lease lease) {
        EngineSurvey survey = new EngineSurvey(configuration, mContext.board(), mHealth, mDomain);
        long nowNs = mContext.scheduler().monotonicNs();
        if (nowNs >= mNextPlanNs) {
            mNextPlanNs = nowNs + mContext.settings().planPeriod().toNanos();
            plan(configuration, survey);
        }
        mIssuer.step(configuration, survey, lease);
        mHolds.step();
    }

    private void plan(Configuration configuration, EngineSurvey survey) {
        logUsability(survey);
        List<ModelNeed> needs = mNeeds.current(configuration);
        Set<Identity> pinned = new HashSet<>(pinned());
        pinned.addAll(survey.unknown());
        PlanInput input =
                new PlanInput(
                        survey.views(this::heldOrTold),
                        needs,
                        Set.of(mDomain),
                        pinned,
                        cutOff(configuration));
        if (mLastInput.filter(input::equals).isPresent()) {
            return;
        }
        mLastInput = Optional.of(input);
        Plan plan = mPolicy.planner().plan(input);
        logChanges(survey, plan);
        mTold = new HashMap<>(plan.targets());
        Set<Identity> wanted =
                needs.stream()
                        .filter(need -> !need.retired())
                        .map(need -> need.model().id())
                        .collect(Collectors.toSet());
        mIssuer.want(plan.targets(), wanted);
    }

    private List<UpstreamSpec.Holding> heldOrTold(EngineSurvey.Entry entry) {
        boolean own = entry.spec().domain().equals(mDomain);
        List<UpstreamSpec.Holding> told = own ? mTold.get(entry.spec().id()) : null;
        return told != null && !told.isEmpty() ? told : entry.held();
    }

    /** Engines that must stay as they are for a while, so that the plan is made around them. */
    private Set<Identity> pinned() {
        long nowNs = mContext.scheduler().monotonicNs();
        mPinnedUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
        for (Identity engine : mIssuer.blocked()) {
            mPinnedUntilNs.put(engine, nowNs + PINNED_NS);
            mTold.remove(engine);
            log(engine, "keeps what it holds: its change would take the last chain");
        }
        return mPinnedUntilNs.keySet();
    }

    private Set<Identity> cutOff(Configuration configuration) {
        return configuration.manifest().domains().stream()
                .map(DomainSpec::id)
                .filter(id -> !id.equals(mDomain))
                .filter(id -> mPolicy.links().degraded(mDomain, id))
                .collect(Collectors.toSet());
    }

    private void logUsability(EngineSurvey survey) {
        Set<Identity> unusable = new HashSet<>();
        for (EngineSurvey.Entry entry : survey.entries().values()) {
            if (entry.out() && entry.spec().domain().equals(mDomain)) {
                unusable.add(entry.spec().id());
                if (!mUnusable.contains(entry.spec().id())) {
                    log(entry.spec().id(), "left out of plans: " + entry.verdict().reason());
                }
            }
        }
        mUnusable.stream()
                .filter(id -> !unusable.contains(id))
                .sorted()
                .forEach(id -> log(id, "back in plans"));
        mUnusable = unusable;
    }

    private void logChanges(EngineSurvey survey, Plan plan) {
        plan.targets().keySet().stream()
                .sorted()
                .forEach(
                        id -> {
                            List<UpstreamSpec.Holding> target = plan.targets().get(id);
                            List<UpstreamSpec.Holding> before =
                                    survey.entry(id).map(this::heldOrTold).orElse(List.of());
                            if (!Holdings.same(before, target)) {
                                log(
                                        id,
                                        "to hold "
                                                + OrderSender.text(target)
                                                + " in place of "
                                                + OrderSender.text(before));
                            }
                        });
    }

    private void log(Identity engine, String text) {
        mContext.decisions().record(DecisionKind.PLACEMENT, engine.key(), text);
    }
}
