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
 * Gives orders: writes the shard's object, checks the clock again, then sends. Guarded by the
 * shard's lock, which callbacks take again.
 */
final class OrderSender {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_BACKOFF_SHIFT = 6;
    private static final Duration LOAD_SLACK = Duration.ofSeconds(30);

    private final Identity mShard;
    private final PlacementContext mContext;
    private final Object mLock;
    private final ShardJournal mJournal;
    private final LeaseKeeper mLease;
    private final HoldAnnouncer mHolds;
    private final TrustTable mTrust;
    private final LongConsumer mOnFenced;
    private long mSequence;

    OrderSender(
            Identity shard,
            PlacementContext context,
            Object lock,
            ShardJournal journal,
            LeaseKeeper lease,
            HoldAnnouncer holds,
            TrustTable trust,
            LongConsumer onFenced) {
        mShard = shard;
        mContext = context;
        mLock = lock;
        mJournal = journal;
        mLease = lease;
        mHolds = holds;
        mTrust = trust;
        mOnFenced = onFenced;
    }

    /** Starts the numbers of a new fence. */
    void start() {
        mSequence = 0;
    }

    /** Covers a batch of orders by one write and sends them if little time went by. */
    void send(
            Configuration configuration,
            Lease lease,
            List<OrderIssuer.Work> ready,
            Map<Identity, List<UpstreamSpec.Holding>> targets) {
        List<OrderIssuer.Work> allowed =
                ready.stream().filter(work -> mayReach(work.entry().spec(), lease)).toList();
        if (allowed.isEmpty() || mJournal.busy()) {
            return;
        }
        long startNs = mContext.scheduler().monotonicNs();
        for (OrderIssuer.Work work : allowed) {
            work.order().mSending = true;
            work.order().mSequence = ++mSequence;
        }
        mJournal.commit(
                lease.fence(),
                mSequence,
                targets,
                result -> onCommitted(configuration, lease, allowed, startNs, result));
    }

    /** Engines that ignore fencing wait for orders of the last owner that may be under way. */
    private boolean mayReach(UpstreamSpec engine, Lease lease) {
        long sinceNs = mContext.scheduler().monotonicNs() - lease.acquiredNs();
        return engine.honoursFencing() || sinceNs >= mContext.settings().orderFlight().toNanos();
    }

    private void onCommitted(
            Configuration configuration,
            Lease lease,
            List<OrderIssuer.Work> batch,
            long startNs,
            ShardJournal.Result result) {
        batch.forEach(work -> work.order().mSending = false);
        if (result == ShardJournal.Result.OVERTAKEN) {
            mOnFenced.accept(mJournal.record().fence());
            return;
        }
        if (result == ShardJournal.Result.RETRY) {
            batch.forEach(work -> backOff(work.order(), 1));
            return;
        }
        long elapsedNs = mContext.scheduler().monotonicNs() - startNs;
        boolean valid = mLease.held().filter(l -> l.fence() == lease.fence()).isPresent();
        if (!valid || elapsedNs > mContext.settings().maxPause().toNanos()) {
            long elapsedMs = Duration.ofNanos(elapsedNs).toMillis();
            batch.forEach(
                    work ->
                            log(
                                    work.order().mEngine,
                                    "discarded: " + elapsedMs + " ms went by after its check"));
            return;
        }
        batch.forEach(work -> sendOne(configuration, lease, work));
    }

    private void sendOne(Configuration configuration, Lease lease, OrderIssuer.Work work) {
        EngineOrder order = work.order();
        if (work.destructive() && !mayDestroy(order, work)) {
            return;
        }
        order.mSending = true;
        order.mAttempts++;
        order.mBootId = work.entry().bootId();
        log(
                order.mEngine,
                "sent fence "
                        + lease.fence()
                        + " number "
                        + order.mSequence
                        + ": hold "
                        + text(order.mTarget));
        UpstreamOrder sent =
                new UpstreamOrder(
                        mShard.key(),
                        lease.fence(),
                        order.mSequence,
                        mContext.members().self().host().key(),
                        order.mTarget);
        Duration loadTime = loadTime(configuration, work);
        mContext.upstreams()
                .order(work.entry().spec(), sent)
                .thenAccept(
                        reply -> {
                            synchronized (mLock) {
                                onReply(order, reply, loadTime);
                            }
                        });
    }

    /**
     * Tells whether an engine runs nothing of what it is about to lose. An engine that goes on
     * serving another model version cannot show it; it is given the longest time a stream takes.
     */
    boolean isDrained(OrderIssuer.Work work) {
        EngineOrder order = work.order();
        long nowNs = mContext.scheduler().monotonicNs();
        long limitNs = 2 * mContext.settings().maxPause().toNanos();
        if (order.mDrainedAtNs.filter(at -> nowNs - at <= limitNs).isPresent()) {
            return true;
        }
        long heldNs = mHolds.ageNs(order.mEngine).orElse(0L);
        return work.servesOn() && heldNs >= mContext.settings().untrustedDrain().toNanos();
    }

    private boolean mayDestroy(EngineOrder order, OrderIssuer.Work work) {
        long spreadNs = mContext.settings().holdSpread().toNanos();
        boolean held =
                mHolds.holds(order.mEngine, work.changed())
                        && mHolds.ageNs(order.mEngine).orElse(0L) >= spreadNs
                        && mContext.board().holds().get(order.mEngine).isPresent();
        boolean drained = isDrained(work);
        return mContext.invariants()
                .check(
                        Invariant.NO_DESTRUCTIVE_ORDER_WHILE_ROUTED,
                        held && drained,
                        "order to %s: held %s, drained %s",
                        order.mEngine,
                        held,
                        drained);
    }

    private void onReply(EngineOrder order, OrderReply reply, Duration loadTime) {
        order.mSending = false;
        long nowNs = mContext.scheduler().monotonicNs();
        if (reply instanceof OrderReply.Accepted) {
            order.mDeadlineNs = Optional.of(nowNs + loadTime.toNanos());
            order.mNextTryNs = nowNs + mContext.settings().orderRetry().toNanos();
        } else if (reply instanceof OrderReply.Fenced fenced) {
            log(order.mEngine, "refused: the engine has seen fence " + fenced.fence());
            backOff(order, order.mAttempts);
            mOnFenced.accept(fenced.fence());
        } else if (reply instanceof OrderReply.Refused refused) {
            log(order.mEngine, "refused: " + refused.reason());
            failed(order);
        } else {
            log(order.mEngine, "no answer; it is given again unless the engine complies");
            backOff(order, order.mAttempts);
        }
    }

    /** Notes that an engine did not reach its target in time. */
    void missed(EngineOrder order, EngineSurvey.Entry entry) {
        order.mDeadlineNs = Optional.empty();
        log(
                order.mEngine,
                "not done in time: holds "
                        + text(entry.held())
                        + ", wanted "
                        + text(order.mTarget));
        failed(order);
    }

    private void failed(EngineOrder order) {
        backOff(order, order.mAttempts);
        if (order.mAttempts >= MAX_ATTEMPTS) {
            log(order.mEngine, "left out of plans after " + order.mAttempts + " failed orders");
            mTrust.distrust(order.mEngine);
        }
    }

    private void backOff(EngineOrder order, int attempts) {
        PlacementSettings settings = mContext.settings();
        long factor = 1L << Math.min(MAX_BACKOFF_SHIFT, Math.max(0, attempts - 1));
        long boundNs =
                Math.min(
                        settings.orderRetry().toNanos() * factor,
                        settings.maxOrderRetry().toNanos());
        long delayNs = mContext.random().nextLong(boundNs / 2, boundNs + 1);
        order.mNextTryNs = mContext.scheduler().monotonicNs() + delayNs;
    }

    /** Reads an engine's status and notes whether it runs nothing. */
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

    private static Duration loadTime(Configuration configuration, OrderIssuer.Work work) {
        Optional<WeightStoreSpec> store =
                configuration.manifest().weightStores().stream()
                        .filter(s -> s.fleet().equals(work.order().mEngine.fleet()))
                        .findFirst();
        if (store.isEmpty()) {
            return LOAD_SLACK;
        }
        double rate = (double) store.get().bytesPerSecond() / store.get().concurrentLoads();
        double seconds = work.bytesToLoad() / Math.max(1, rate);
        return LOAD_SLACK.plusMillis((long) (2_000 * seconds));
    }

    /** Logs a reason for waiting, unless it was the last one logged. */
    void logOnce(EngineOrder order, String text) {
        if (!order.mLoggedReason.equals(text)) {
            order.mLoggedReason = text;
            log(order.mEngine, text);
        }
    }

    /** Logs a decision on an engine. */
    void log(Identity engine, String text) {
        mContext.decisions().record(DecisionKind.ORDER, engine.key(), text);
    }

    /** Writes holdings for people. */
    static String text(List<UpstreamSpec.Holding> holdings) {
        if (holdings.isEmpty()) {
            return "nothing";
        }
        return holdings.stream()
                .map(h -> h.modelVersion().qualifiedName() + " " + h.layers())
                .collect(Collectors.joining(", "));
    }
}
