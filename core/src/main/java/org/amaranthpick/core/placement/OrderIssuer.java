package org.amaranthpick.core.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Brings the engines of one control shard to their targets. Every step compares targets with
 * observations; nothing is queued, so that a lost order, a restart or a takeover needs no special
 * case. Guarded by the shard's lock.
 */
final class OrderIssuer {
    private static final int LEAST_CHANGES_AT_ONCE = 2;
    private static final long BLOCKED_NS = 30_000_000_000L;
    private static final long DRAIN_CHECK_PERIOD_NS = 1_000_000_000L;

    private final Identity mShard;
    private final PlacementContext mContext;
    private final HoldAnnouncer mHolds;
    private final WeightBudget mBudget;
    private final OrderSender mSender;
    private final ForeignChanges mForeign = new ForeignChanges();
    private final Map<Identity, EngineOrder> mOrders = new TreeMap<>();
    private Map<Identity, List<UpstreamSpec.Holding>> mTargets = Map.of();
    private Set<Identity> mProtected = Set.of();
    private Instant mKnowledgeStart = Instant.EPOCH;
    private int mLoadsWanted;

    OrderIssuer(
            Identity shard,
            PlacementContext context,
            HoldAnnouncer holds,
            WeightBudget budget,
            OrderSender sender) {
        mShard = shard;
        mContext = context;
        mHolds = holds;
        mBudget = budget;
        mSender = sender;
    }

    /** Starts anew; only observations from now on count. */
    void start() {
        mOrders.clear();
        mForeign.start();
        mTargets = Map.of();
        mLoadsWanted = 0;
        mKnowledgeStart = mContext.scheduler().instant();
    }

    /** Sets what the engines are to hold and which model versions must keep a chain. */
    void want(Map<Identity, List<UpstreamSpec.Holding>> targets, Set<Identity> protectedModels) {
        mTargets = new TreeMap<>(targets);
        mProtected = Set.copyOf(protectedModels);
        mOrders.keySet().stream()
                .filter(id -> !mTargets.containsKey(id))
                .toList()
                .forEach(this::forget);
    }

    /** Returns the engines whose change has long been barred by the last chain. */
    Set<Identity> blocked() {
        long nowNs = mContext.scheduler().monotonicNs();
        return mOrders.values().stream()
                .filter(o -> nowNs - o.mBlockedSinceNs.orElse(nowNs) >= BLOCKED_NS)
                .map(o -> o.mEngine)
                .collect(Collectors.toSet());
    }

    /** Returns the engines that load weights or wait to. */
    int loadsWanted() {
        return mLoadsWanted;
    }

    /** Returns the engines that are not yet as wanted. */
    int open() {
        return mOrders.size();
    }

    /** Returns what each engine was told or will be told to hold. */
    Map<Identity, List<UpstreamSpec.Holding>> targets() {
        return mTargets;
    }

    /** Runs one step. */
    void step(Configuration configuration, EngineSurvey survey, Lease lease) {
        List<Work> open = new ArrayList<>();
        for (Map.Entry<Identity, List<UpstreamSpec.Holding>> want : mTargets.entrySet()) {
            openWork(configuration, survey, want.getKey(), want.getValue()).ifPresent(open::add);
        }
        mLoadsWanted = (int) open.stream().filter(Work::loads).count();
        int slots = mBudget.slots(configuration, mShard, mLoadsWanted);
        Slots left = new Slots(slots, Math.max(LEAST_CHANGES_AT_ONCE, slots));
        open.stream().filter(this::inProgress).forEach(left::take);
        List<Work> ready = new ArrayList<>();
        for (Work work : open) {
            if (inProgress(work) || left.take(work)) {
                advance(configuration, survey, work, ready);
            }
        }
        mSender.send(configuration, lease, ready, mTargets);
    }

    private Optional<Work> openWork(
            Configuration configuration,
            EngineSurvey survey,
            Identity engine,
            List<UpstreamSpec.Holding> target) {
        Optional<EngineSurvey.Entry> entry =
                survey.entry(engine).filter(EngineSurvey.Entry::usable);
        if (entry.isEmpty()) {
            forget(engine);
            return Optional.empty();
        }
        Instant sampledAt = entry.get().seen().orElseThrow().sampledAt();
        if (sampledAt.isBefore(mKnowledgeStart)) {
            return Optional.empty();
        }
        noteForeignChange(entry.get());
        if (Holdings.same(entry.get().held(), target)) {
            settle(entry.get(), target);
            return Optional.empty();
        }
        EngineOrder order = mOrders.get(engine);
        if (order == null || !Holdings.same(order.mTarget, target)) {
            order = new EngineOrder(engine, target);
            mOrders.put(engine, order);
        }
        return Optional.of(
                new Work(order, entry.get(), bytesToLoad(configuration, entry.get(), order)));
    }

    private void noteForeignChange(EngineSurvey.Entry entry) {
        Identity engine = entry.spec().id();
        if (mForeign.isForeign(engine, entry.bootId(), entry.held())) {
            String remedy =
                    entry.spec().checksOrderer()
                            ? "check its credentials"
                            : "it does not check its orderer; keep others off its network";
            mSender.log(engine, "changed without an order of this shard; " + remedy);
        }
    }

    private void settle(EngineSurvey.Entry entry, List<UpstreamSpec.Holding> target) {
        Identity engine = entry.spec().id();
        mForeign.settled(engine, entry.bootId(), entry.held());
        EngineOrder order = mOrders.get(engine);
        if (order != null && order.mAttempts > 0) {
            mSender.log(engine, "done: holds " + OrderSender.text(target));
        }
        forget(engine);
    }

    private void forget(Identity engine) {
        mOrders.remove(engine);
        mHolds.clear(engine);
    }

    private boolean inProgress(Work work) {
        EngineOrder order = work.order();
        return order.mSending
                || order.mDeadlineNs.isPresent()
                || mHolds.held().contains(order.mEngine);
    }

    private void advance(
            Configuration configuration, EngineSurvey survey, Work work, List<Work> ready) {
        EngineOrder order = work.order();
        long nowNs = mContext.scheduler().monotonicNs();
        String bootId = work.entry().bootId();
        if (order.mSending || order.isUnderWay(nowNs, bootId)) {
            return;
        }
        if (order.mDeadlineNs.isPresent()) {
            mSender.missed(order, work.entry());
        }
        if (nowNs < order.mNextTryNs) {
            return;
        }
        if (!work.destructive() || readyToDestroy(configuration, survey, work)) {
            mForeign.ordered(order.mEngine);
            ready.add(work);
        }
    }

    private boolean readyToDestroy(Configuration configuration, EngineSurvey survey, Work work) {
        EngineOrder order = work.order();
        Identity engine = order.mEngine;
        boolean held = mHolds.holds(engine, work.changed());
        long heldNs = mHolds.ageNs(engine).orElse(0L);
        if (held && heldNs < mContext.settings().holdSpread().toNanos()) {
            return false;
        }
        Optional<Identity> last = lastChain(configuration, survey, work);
        if (last.isPresent()) {
            long nowNs = mContext.scheduler().monotonicNs();
            order.mBlockedSinceNs = Optional.of(order.mBlockedSinceNs.orElse(nowNs));
            mHolds.clear(engine);
            mSender.logOnce(order, "waits: it is part of the last chain of " + last.get());
            return false;
        }
        order.mBlockedSinceNs = Optional.empty();
        if (!held) {
            mHolds.set(engine, work.changed());
            String target = OrderSender.text(order.mTarget);
            mSender.logOnce(order, "held back from routing before " + target);
            return false;
        }
        checkDrained(work);
        return mSender.isDrained(work);
    }

    private void checkDrained(Work work) {
        EngineOrder order = work.order();
        long nowNs = mContext.scheduler().monotonicNs();
        if (nowNs - order.mCheckStartedNs < DRAIN_CHECK_PERIOD_NS) {
            return;
        }
        order.mCheckStartedNs = nowNs;
        mSender.checkDrained(work.entry().spec(), order);
    }

    private Optional<Identity> lastChain(
            Configuration configuration, EngineSurvey survey, Work work) {
        ChainGuard guard = new ChainGuard(survey, mShard);
        Identity engine = work.order().mEngine;
        return work.changed().stream()
                .filter(mProtected::contains)
                .flatMap(id -> configuration.modelVersion(id).stream())
                .filter(model -> !guard.allows(model, engine, heldAnywhere(model.id())))
                .map(ModelVersionSpec::id)
                .findFirst();
    }

    private Set<Identity> heldAnywhere(Identity modelVersion) {
        Set<Identity> held = mHolds.held(modelVersion);
        mContext.board()
                .holds()
                .forEach(
                        (id, hold) -> {
                            if (hold.modelVersions().contains(modelVersion)) {
                                held.add(id);
                            }
                        });
        return held;
    }

    private static long bytesToLoad(
            Configuration configuration, EngineSurvey.Entry entry, EngineOrder order) {
        return Holdings.models(order.mTarget).stream()
                .flatMap(id -> configuration.modelVersion(id).stream())
                .mapToLong(model -> Holdings.bytesToLoad(model, entry.held(), order.mTarget))
                .sum();
    }

    /**
     * Engine that is not as wanted.
     *
     * @param order its progress
     * @param entry what is known of it
     * @param bytesToLoad weights to load
     */
    record Work(EngineOrder order, EngineSurvey.Entry entry, long bytesToLoad) {
        boolean loads() {
            return bytesToLoad > 0;
        }

        boolean destructive() {
            return !changed().isEmpty();
        }

        /** Returns the model versions of which the engine loses something. */
        Set<Identity> changed() {
            return Holdings.changed(order.mTarget, entry.held());
        }

        /** Tells whether the engine goes on serving another model version meanwhile. */
        boolean servesOn() {
            return !changed().containsAll(Holdings.models(entry.held()));
        }
    }

    /** Changes that may be under way at once. */
    private static final class Slots {
        private int mLoads;
        private int mDestructive;

        Slots(int loads, int destructive) {
            mLoads = loads;
            mDestructive = destructive;
        }

        boolean take(Work work) {
            boolean fits =
                    (!work.loads() || mLoads > 0) && (!work.destructive() || mDestructive > 0);
            if (fits) {
                mLoads -= work.loads() ? 1 : 0;
                mDestructive -= work.destructive() ? 1 : 0;
            }
            return fits;
        }
    }
}
