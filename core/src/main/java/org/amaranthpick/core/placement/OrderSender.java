package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.explain.DecisionKind;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WeightStoreSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Sends orders: writes the shard's record, then checks the lease and the elapsed time again, then
 * sends. Guarded by the shard's lock, which callbacks acquire again.
 */
final class OrderSender {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_BACKOFF_SHIFT = 6;
    private static final Duration LOAD_SLACK = Duration.ofSeconds(30);

    private final Identity mShard;
    private final PlacementContext mContext;
    private final Object mLock;
    private final ShardRecordStore mRecordStore;
    private final LeaseManager mLease;
    private final HoldAnnouncer mHolds;
    private final EngineTrust mTrust;
    private final LongConsumer mOnFenced;
    private long mSequence;

    OrderSender(
            Identity shard,
            PlacementContext context,
            Object lock,
            ShardRecordStore recordStore,
            LeaseManager lease,
            HoldAnnouncer holds,
            EngineTrust trust,
            LongConsumer onFenced) {
        mShard = shard;
        mContext = context;
        mLock = lock;
        mRecordStore = recordStore;
        mLease = lease;
        mHolds = holds;
        mTrust = trust;
        mOnFenced = onFenced;
    }

    /** Restarts the sequence numbers for a new fencing number. */
    void resetSequence() {
        mSequence = 0;
    }

    /** Commits a batch of orders with one store write and sends them if little time has passed. */
    void send(
            Configuration configuration,
            Lease lease,
            List<OrderIssuer.PendingChange> ready,
            Map<Identity, List<UpstreamSpec.Holding>> targets) {
        List<OrderIssuer.PendingChange> allowed =
                ready.stream().filter(change -> mayOrder(change.entry().spec(), lease)).toList();
        if (allowed.isEmpty() || mRecordStore.isBusy()) {
            return;
        }
        long startNs = mContext.scheduler().monotonicNs();
        for (OrderIssuer.PendingChange change : allowed) {
            change.order().mSending = true;
            change.order().mSequence = ++mSequence;
        }
        mRecordStore.commit(
                lease.fence(),
                mSequence,
                targets,
                result -> onCommitted(configuration, lease, allowed, startNs, result));
    }

    /**
     * Returns whether an engine may be sent orders. An engine that ignores fencing must wait until
     * orders of the previous owner can no longer be in transit.
     */
    private boolean mayOrder(UpstreamSpec engine, Lease lease) {
        long ownedNs = mContext.scheduler().monotonicNs() - lease.acquiredNs();
        return engine.honoursFencing()
                || ownedNs >= mContext.settings().maxOrderTransit().toNanos();
    }

    private void onCommitted(
            Configuration configuration,
            Lease lease,
            List<OrderIssuer.PendingChange> batch,
            long startNs,
            ShardRecordStore.Result result) {
        batch.forEach(change -> change.order().mSending = false);
        if (result == ShardRecordStore.Result.SUPERSEDED) {
            mOnFenced.accept(mRecordStore.record().fence());
            return;
        }
        if (result == ShardRecordStore.Result.RETRY) {
            batch.forEach(change -> backOff(change.order(), 1));
            return;
        }
        long elapsedNs = mContext.scheduler().monotonicNs() - startNs;
        boolean valid = mLease.held().filter(l -> l.fence() == lease.fence()).isPresent();
        if (!valid || elapsedNs > mContext.settings().maxOrderDelay().toNanos()) {
            long delayMs = Duration.ofNanos(elapsedNs).toMillis();
            batch.forEach(
                    change ->
                            log(
                                    change.order().mEngine,
                                    "discarded: lease or time limit expired after "
                                            + delayMs
                                            + " ms"));
            return;
        }
        batch.forEach(change -> sendOrder(configuration, lease, change));
    }

    private void sendOrder(
            Configuration configuration, Lease lease, OrderIssuer.PendingChange change) {
        EngineOrder order = change.order();
        if (change.isDestructive() && !checkUnloadAllowed(order, change)) {
            return;
        }
        order.mSending = true;
        order.mAttempts++;
        order.mBootId = change.entry().bootId();
        log(
                order.mEngine,
                "sent with fence "
                        + lease.fence()
                        + ", number "
                        + order.mSequence
                        + ": hold "
                        + format(order.mTarget));
        UpstreamOrder upstreamOrder =
                new UpstreamOrder(
                        mShard.key(),
                        lease.fence(),
                        order.mSequence,
                        mContext.members().self().host().key(),
                        order.mTarget);
        Duration loadTime = loadTime(configuration, change);
        mContext.upstreams()
                .order(change.entry().spec(), upstreamOrder)
                .thenAccept(
                        reply -> {
                            synchronized (mLock) {
                                onReply(order, reply, loadTime);
                            }
                        });
    }

    /**
     * Returns whether an engine runs no stream on the holdings that it is about to lose. The status
     * of an engine that keeps serving another model version cannot show this; such an engine counts
     * as drained after the longest time that a stream takes.
     */
    boolean isDrained(OrderIssuer.PendingChange change) {
        EngineOrder order = change.order();
        long nowNs = mContext.scheduler().monotonicNs();
        long maxAgeNs = 2 * mContext.settings().maxOrderDelay().toNanos();
        if (order.mDrainedAtNs.filter(at -> nowNs - at <= maxAgeNs).isPresent()) {
            return true;
        }
        long heldNs = mHolds.holdAgeNs(order.mEngine).orElse(0L);
        return change.keepsServing() && heldNs >= mContext.settings().unverifiedDrain().toNanos();
    }

    /**
     * Returns whether routing hold and drain allow a destructive order; reports an invariant
     * violation if they do not.
     */
    private boolean checkUnloadAllowed(EngineOrder order, OrderIssuer.PendingChange change) {
        long propagationNs = mContext.settings().holdPropagation().toNanos();
        boolean held =
                mHolds.isHeld(order.mEngine, change.modelsToUnload())
                        && mHolds.holdAgeNs(order.mEngine).orElse(0L) >= propagationNs
                        && mContext.board().routingHolds().get(order.mEngine).isPresent();
        boolean drained = isDrained(change);
        return mContext.invariants()
                .check(
                        Invariant.NO_DESTRUCTIVE_ORDER_WHILE_ROUTED,
                        held && drained,
                        "order to %s: routing hold %s, drained %s",
                        order.mEngine,
                        held,
                        drained);
    }

    private void onReply(EngineOrder order, OrderReply reply, Duration loadTime) {
        order.mSending = false;
        long nowNs = mContext.scheduler().monotonicNs();
        if (reply instanceof OrderReply.Accepted) {
            order.mDeadlineNs = Optional.of(nowNs + loadTime.toNanos());
            order.mNextAttemptNs = nowNs + mContext.settings().orderRetryDelay().toNanos();
        } else if (reply instanceof OrderReply.Fenced fenced) {
            log(order.mEngine, "refused: the engine has seen fence " + fenced.fence());
            backOff(order, order.mAttempts);
            mOnFenced.accept(fenced.fence());
        } else if (reply instanceof OrderReply.Refused refused) {
            log(order.mEngine, "refused: " + refused.reason());
            recordFailure(order);
        } else {
            log(
                    order.mEngine,
                    "no answer; the order is repeated unless the engine reaches its target");
            backOff(order, order.mAttempts);
        }
    }

    /** Records that an engine did not reach its target in time. */
    void onDeadlineMissed(EngineOrder order, EngineSnapshot.Entry entry) {
        order.mDeadlineNs = Optional.empty();
        log(
                order.mEngine,
                "deadline missed: holds "
                        + format(entry.holdings())
                        + ", target "
                        + format(order.mTarget));
        recordFailure(order);
    }

    private void recordFailure(EngineOrder order) {
        backOff(order, order.mAttempts);
        if (order.mAttempts >= MAX_ATTEMPTS) {
            log(order.mEngine, "excluded from plans after " + order.mAttempts + " failed orders");
            mTrust.distrust(order.mEngine);
        }
    }

    private void backOff(EngineOrder order, int attempts) {
        PlacementSettings settings = mContext.settings();
        long factor = 1L << Math.min(MAX_BACKOFF_SHIFT, Math.max(0, attempts - 1));
        long boundNs =
                Math.min(
                        settings.orderRetryDelay().toNanos() * factor,
                        settings.maxOrderRetryDelay().toNanos());
        long delayNs = mContext.random().nextLong(boundNs / 2, boundNs + 1);
        order.mNextAttemptNs = mContext.scheduler().monotonicNs() + delayNs;
    }

    /** Reads the status of an engine and records whether it is idle. */
    void checkDrained(UpstreamSpec engine, EngineOrder order) {
        long startNs = mContext.scheduler().monotonicNs();
        mContext.upstreams()
                .status(engine)
                .thenAccept(
                        status -> {
                            synchronized (mLock) {
                                boolean idle = status.filter(OrderSender::isIdle).isPresent();
                                order.mDrainedAtNs = idle ? Optional.of(startNs) : Optional.empty();
                            }
                        });
    }

    private static boolean isIdle(UpstreamStatus status) {
        return status.runningStreams() == 0 && status.queuedTokens() == 0;
    }

    /**
     * Returns the time allowed for carrying out an order: twice the expected load time and slack.
     */
    private static Duration loadTime(
            Configuration configuration, OrderIssuer.PendingChange change) {
        Optional<WeightStoreSpec> store =
                configuration.manifest().weightStores().stream()
                        .filter(s -> s.fleet().equals(change.order().mEngine.fleet()))
                        .findFirst();
        if (store.isEmpty()) {
            return LOAD_SLACK;
        }
        double rate = (double) store.get().bytesPerSecond() / store.get().concurrentLoads();
        double seconds = change.bytesToLoad() / Math.max(1, rate);
        return LOAD_SLACK.plusMillis((long) (2_000 * seconds));
    }

    /** Logs a reason for waiting, unless it is the last one logged for the order. */
    void logOnce(EngineOrder order, String text) {
        if (!order.mLoggedReason.equals(text)) {
            order.mLoggedReason = text;
            log(order.mEngine, text);
        }
    }

    /** Logs an order decision about an engine. */
    void log(Identity engine, String text) {
        mContext.decisions().record(DecisionKind.ORDER, engine.key(), text);
    }

    /** Formats holdings for log lines. */
    static String format(List<UpstreamSpec.Holding> holdings) {
        if (holdings.isEmpty()) {
            return "nothing";
        }
        return holdings.stream()
                .map(h -> h.modelVersion().qualifiedName() + " " + h.layers())
                .collect(Collectors.joining(", "));
    }
}
