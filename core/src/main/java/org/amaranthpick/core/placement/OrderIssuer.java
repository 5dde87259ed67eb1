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
 * Brings the engines of one control shard to their targets. Every step compares the targets with
 * the latest observations. Nothing is queued, so that a lost order, a restart or a takeover needs
 * no special case. Guarded by the shard's lock.
 */
final class OrderIssuer {
    /** Destructive changes that are allowed at once whatever the load slots. */
    private static final int MIN_CONCURRENT_CHANGES = 2;

    /** Time for which the last chain must block a change until it counts as blocked. */
    private static final long BLOCKED_AFTER_NS = 30_000_000_000L;

    private static final long DRAIN_CHECK_PERIOD_NS = 1_000_000_000L;

    private final Identity mShard;
    private final PlacementContext mContext;
    private final HoldAnnouncer mHolds;
    private final WeightLoadBudget mBudget;
    private final OrderSender mSender;
    private final ForeignChangeDetector mForeignChanges = new ForeignChangeDetector();
    private final Map<Identity, EngineOrder> mOrders = new TreeMap<>();
    private Map<Identity, List<UpstreamSpec.Holding>> mTargets = Map.of();
    private Set<Identity> mProtectedModels = Set.of();
    private Instant mMinSampledAt = Instant.EPOCH;
    private int mRequestedLoads;

    OrderIssuer(
            Identity shard,
            PlacementContext context,
            HoldAnnouncer holds,
            WeightLoadBudget budget,
            OrderSender sender) {
        mShard = shard;
        mContext = context;
        mHolds = holds;
        mBudget = budget;
        mSender = sender;
    }

    /** Discards all progress; only observations from now on are considered. */
    void reset() {
        mOrders.clear();
        mForeignChanges.reset();
        mTargets = Map.of();
        mRequestedLoads = 0;
        mMinSampledAt = mContext.scheduler().instant();
    }

    /** Sets the targets of the engines and the model versions that must keep a chain. */
    void setTargets(
            Map<Identity, List<UpstreamSpec.Holding>> targets, Set<Identity> protectedModels) {
        mTargets = new TreeMap<>(targets);
        mProtectedModels = Set.copyOf(protectedModels);
        mOrders.keySet().stream()
                .filter(id -> !mTargets.containsKey(id))
                .toList()
                .forEach(this::discard);
    }

    /** Returns the engines whose change has been blocked by the last chain for some time. */
    Set<Identity> blocked() {
        long nowNs = mContext.scheduler().monotonicNs();
        return mOrders.values().stream()
                .filter(o -> nowNs - o.mBlockedSinceNs.orElse(nowNs) >= BLOCKED_AFTER_NS)
                .map(o -> o.mEngine)
                .collect(Collectors.toSet());
    }

    /** Returns the number of engines that load weights or wait to load them. */
    int requestedLoads() {
        return mRequestedLoads;
    }

    /** Returns the number of engines that have not reached their target. */
    int openOrders() {
        return mOrders.size();
    }

    /** Returns the target of each engine. */
    Map<Identity, List<UpstreamSpec.Holding>> targets() {
        return mTargets;
    }

    /** Runs one step: sends the orders that are due. */
    void step(Configuration configuration, EngineSnapshot snapshot, Lease lease) {
        List<PendingChange> pending = new ArrayList<>();
        for (Map.Entry<Identity, List<UpstreamSpec.Holding>> entry : mTargets.entrySet()) {
            findPendingChange(configuration, snapshot, entry.getKey(), entry.getValue())
                    .ifPresent(pending::add);
        }
        mRequestedLoads = (int) pending.stream().filter(PendingChange::loadsWeights).count();
        int slots = mBudget.slots(configuration, mShard, mRequestedLoads);
        ChangeSlots slotsLeft = new ChangeSlots(slots, Math.max(MIN_CONCURRENT_CHANGES, slots));
        pending.stream().filter(this::isInProgress).forEach(slotsLeft::tryAcquire);
        List<PendingChange> ready = new ArrayList<>();
        for (PendingChange change : pending) {
            if (isInProgress(change) || slotsLeft.tryAcquire(change)) {
                advance(configuration, snapshot, change, ready);
            }
        }
        mSender.send(configuration, lease, ready, mTargets);
    }

    private Optional<PendingChange> findPendingChange(
            Configuration configuration,
            EngineSnapshot snapshot,
            Identity engine,
            List<UpstreamSpec.Holding> target) {
        Optional<EngineSnapshot.Entry> entry =
                snapshot.entry(engine).filter(EngineSnapshot.Entry::isUsable);
        if (entry.isEmpty()) {
            discard(engine);
            return Optional.empty();
        }
        Instant sampledAt = entry.get().observation().orElseThrow().sampledAt();
        if (sampledAt.isBefore(mMinSampledAt)) {
            return Optional.empty();
        }
        detectForeignChange(entry.get());
        if (Holdings.sameHoldings(entry.get().holdings(), target)) {
            onTargetReached(entry.get(), target);
            return Optional.empty();
        }
        EngineOrder order = mOrders.get(engine);
        if (order == null || !Holdings.sameHoldings(order.mTarget, target)) {
            order = new EngineOrder(engine, target);
            mOrders.put(engine, order);
        }
        return Optional.of(
                new PendingChange(
                        order, entry.get(), bytesToLoad(configuration, entry.get(), order)));
    }

    private void detectForeignChange(EngineSnapshot.Entry entry) {
        Identity engine = entry.spec().id();
        if (mForeignChanges.isForeign(engine, entry.bootId(), entry.holdings())) {
            String remedy =
                    entry.spec().checksOrderer()
                            ? "check the credentials of its orders"
                            : "it accepts orders from anyone; restrict access to its network";
            mSender.log(engine, "changed without an order of this shard; " + remedy);
        }
    }

    private void onTargetReached(EngineSnapshot.Entry entry, List<UpstreamSpec.Holding> target) {
        Identity engine = entry.spec().id();
        mForeignChanges.recordSettled(engine, entry.bootId(), entry.holdings());
        EngineOrder order = mOrders.get(engine);
        if (order != null && order.mAttempts > 0) {
            mSender.log(engine, "target reached: holds " + OrderSender.format(target));
        }
        discard(engine);
    }

    private void discard(Identity engine) {
        mOrders.remove(engine);
        mHolds.clear(engine);
    }

    private boolean isInProgress(PendingChange change) {
        EngineOrder order = change.order();
        return order.mSending
                || order.mDeadlineNs.isPresent()
                || mHolds.heldEngines().contains(order.mEngine);
    }

    private void advance(
            Configuration configuration,
            EngineSnapshot snapshot,
            PendingChange change,
            List<PendingChange> ready) {
        EngineOrder order = change.order();
        long nowNs = mContext.scheduler().monotonicNs();
        String bootId = change.entry().bootId();
        if (order.mSending || order.isExecuting(nowNs, bootId)) {
            return;
        }
        if (order.mDeadlineNs.isPresent()) {
            mSender.onDeadlineMissed(order, change.entry());
        }
        if (nowNs < order.mNextAttemptNs) {
            return;
        }
        if (!change.isDestructive() || isReadyToUnload(configuration, snapshot, change)) {
            mForeignChanges.recordOrder(order.mEngine);
            ready.add(change);
        }
    }

    private boolean isReadyToUnload(
            Configuration configuration, EngineSnapshot snapshot, PendingChange change) {
        EngineOrder order = change.order();
        Identity engine = order.mEngine;
        boolean held = mHolds.isHeld(engine, change.modelsToUnload());
        long heldNs = mHolds.holdAgeNs(engine).orElse(0L);
        if (held && heldNs < mContext.settings().holdPropagation().toNanos()) {
            return false;
        }
        Optional<Identity> lastChain = findLastChain(configuration, snapshot, change);
        if (lastChain.isPresent()) {
            long nowNs = mContext.scheduler().monotonicNs();
            order.mBlockedSinceNs = Optional.of(order.mBlockedSinceNs.orElse(nowNs));
            mHolds.clear(engine);
            mSender.logOnce(order, "blocked: it is part of the last chain of " + lastChain.get());
            return false;
        }
        order.mBlockedSinceNs = Optional.empty();
        if (!held) {
            mHolds.set(engine, change.modelsToUnload());
            String target = OrderSender.format(order.mTarget);
            mSender.logOnce(order, "routing hold set before the change to " + target);
            return false;
        }
        checkDrained(change);
        return mSender.isDrained(change);
    }

    private void checkDrained(PendingChange change) {
        EngineOrder order = change.order();
        long nowNs = mContext.scheduler().monotonicNs();
        if (nowNs - order.mDrainCheckStartedNs < DRAIN_CHECK_PERIOD_NS) {
            return;
        }
        order.mDrainCheckStartedNs = nowNs;
        mSender.checkDrained(change.entry().spec(), order);
    }

    private Optional<Identity> findLastChain(
            Configuration configuration, EngineSnapshot snapshot, PendingChange change) {
        ChainGuard guard = new ChainGuard(snapshot, mShard);
        Identity engine = change.order().mEngine;
        return change.modelsToUnload().stream()
                .filter(mProtectedModels::contains)
                .flatMap(id -> configuration.modelVersion(id).stream())
                .filter(model -> !guard.allowsChange(model, engine, heldEngines(model.id())))
                .map(ModelVersionSpec::id)
                .findFirst();
    }

    private Set<Identity> heldEngines(Identity modelVersion) {
        Set<Identity> held = mHolds.heldEngines(modelVersion);
        mContext.board()
                .routingHolds()
                .forEach(
                        (id, hold) -> {
                            if (hold.modelVersions().contains(modelVersion)) {
                                held.add(id);
                            }
                        });
        return held;
    }

    private static long bytesToLoad(
            Configuration configuration, EngineSnapshot.Entry entry, EngineOrder order) {
        return Holdings.modelVersions(order.mTarget).stream()
                .flatMap(id -> configuration.modelVersion(id).stream())
                .mapToLong(model -> Holdings.bytesToLoad(model, entry.holdings(), order.mTarget))
                .sum();
    }

    /**
     * Engine that has not reached its target.
     *
     * @param order its progress
     * @param entry its entry in the snapshot
     * @param bytesToLoad bytes of weights to load
     */
    record PendingChange(EngineOrder order, EngineSnapshot.Entry entry, long bytesToLoad) {
        boolean loadsWeights() {
            return bytesToLoad > 0;
        }

        boolean isDestructive() {
            return !modelsToUnload().isEmpty();
        }

        /** Returns the model versions of which the engine loses a holding. */
        Set<Identity> modelsToUnload() {
            return Holdings.modelsToUnload(order.mTarget, entry.holdings());
        }

        /** Returns whether the engine keeps serving another model version meanwhile. */
        boolean keepsServing() {
            return !modelsToUnload().containsAll(Holdings.modelVersions(entry.holdings()));
        }
    }

    /** Remaining slots for concurrent loads and destructive changes. */
    private static final class ChangeSlots {
        private int mLoads;
        private int mDestructive;

        ChangeSlots(int loads, int destructive) {
            mLoads = loads;
            mDestructive = destructive;
        }

        boolean tryAcquire(PendingChange change) {
            boolean fits =
                    (!change.loadsWeights() || mLoads > 0)
                            && (!change.isDestructive() || mDestructive > 0);
            if (fits) {
                mLoads -= change.loadsWeights() ? 1 : 0;
                mDestructive -= change.isDestructive() ? 1 : 0;
            }
            return fits;
        }
    }
}
