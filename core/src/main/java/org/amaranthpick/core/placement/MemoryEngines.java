package org.amaranthpick.core.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.manifest.WeightStoreSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;

/**
 * Engines held in memory that take orders and load weights at the weight store's rate, for tests
 * and measuring runs on one thread. They generate nothing.
 */
public final class MemoryEngines implements UpstreamClient {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler mScheduler;
    private final WeightStoreSpec mStore;
    private final Map<Identity, ModelVersionSpec> mModels = new TreeMap<>();
    private final Map<Identity, MemoryEngine> mEngines = new TreeMap<>();
    private final Deque<Load> mWaiting = new ArrayDeque<>();
    private Duration mOrderDelay = Duration.ZERO;
    private boolean mLosesReplies;
    private final List<Load> mRunning = new ArrayList<>();
    private Cancellable mNextEnd = () -> {};
    private long mLoadsAtNs;
    private int mMostLoads;
    private long mBytesLoaded;

    /**
     * Creates the engines of a configuration.
     *
     * @param scheduler clock and timers
     * @param configuration engines and model versions
     * @param store weight store that all loads come from
     */
    public MemoryEngines(Scheduler scheduler, Configuration configuration, WeightStoreSpec store) {
        mScheduler = scheduler;
        mStore = store;
        configuration.manifest().modelVersions().forEach(m -> mModels.put(m.id(), m));
        configuration
                .manifest()
                .upstreams()
                .forEach(u -> mEngines.put(u.id(), new MemoryEngine(u)));
    }

    /**
     * Returns one engine.
     *
     * @param id identity of kind UPSTREAM
     * @return the engine
     */
    public MemoryEngine engine(Identity id) {
        return mEngines.get(id);
    }

    /**
     * Returns all engines.
     *
     * @return engines sorted by identity
     */
    public Collection<MemoryEngine> engines() {
        return mEngines.values();
    }

    /**
     * Sets the time that an order is under way.
     *
     * @param delay time from sending to effect
     */
    public void setOrderDelay(Duration delay) {
        mOrderDelay = delay;
    }

    /**
     * Sets whether replies to orders get lost.
     *
     * @param loses true if orders take effect without a reply
     */
    public void setLosesReplies(boolean loses) {
        mLosesReplies = loses;
    }

    /**
     * Returns the most loads that ran at once.
     *
     * @return loads wanted at once from the weight store, waiting ones included
     */
    public int mostLoads() {
        return mMostLoads;
    }

    /**
     * Returns the bytes loaded in all.
     *
     * @return bytes
     */
    public long bytesLoaded() {
        return mBytesLoaded;
    }

    /**
     * Writes what every engine reports to a blackboard; dead ones are told as lost.
     *
     * @param board blackboard
     */
    public void report(Blackboard board) {
        for (MemoryEngine engine : mEngines.values()) {
            Identity id = engine.spec().id();
            UpstreamObservation.Reachability reach =
                    engine.alive()
                            ? UpstreamObservation.Reachability.REACHABLE
                            : UpstreamObservation.Reachability.LOST;
            UpstreamStatus status = engine.status(mScheduler.instant().toEpochMilli());
            board.upstreams()
                    .put(id, new UpstreamObservation(id, status, mScheduler.instant(), reach));
        }
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        MemoryEngine engine = mEngines.get(upstream.id());
        long nowMs = mScheduler.instant().toEpochMilli();
        return CompletableFuture.completedFuture(
                engine.alive() ? Optional.of(engine.status(nowMs)) : Optional.empty());
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        MemoryEngine engine = mEngines.get(upstream.id());
        CompletableFuture<OrderReply> reply = new CompletableFuture<>();
        if (mOrderDelay.isZero()) {
            reply.complete(take(engine, order));
        } else {
            mScheduler.schedule(mOrderDelay, () -> reply.complete(take(engine, order)));
        }
        return reply;
    }

    private OrderReply take(MemoryEngine engine, UpstreamOrder order) {
        if (!engine.alive()) {
            return new OrderReply.Unknown("no answer");
        }
        if (engine.isFenced(order)) {
            return new OrderReply.Fenced(engine.fence());
        }
        long bytes = bytesToLoad(engine, order);
        long number = engine.take(order);
        mWaiting.add(new Load(engine, order, number, bytes));
        startLoads();
        return mLosesReplies ? new OrderReply.Unknown("lost") : new OrderReply.Accepted();
    }

    private long bytesToLoad(MemoryEngine engine, UpstreamOrder order) {
        return order.target().stream()
                .filter(target -> !engine.holdings().contains(target))
                .mapToLong(
                        target ->
                                mModels.get(target.modelVersion()).layerWeightBytes()
                                        * target.layers().size())
                .sum();
    }

    /** Starts waiting loads; all running ones share the rate of the weight store. */
    private void startLoads() {
        mMostLoads = Math.max(mMostLoads, mRunning.size() + mWaiting.size());
        advanceLoads();
        while (!mWaiting.isEmpty() && mRunning.size() < mStore.concurrentLoads()) {
            mRunning.add(mWaiting.poll());
        }
        scheduleNextEnd();
    }

    private void advanceLoads() {
        double seconds = (mScheduler.monotonicNs() - mLoadsAtNs) / NANOS_PER_SECOND;
        mLoadsAtNs = mScheduler.monotonicNs();
        double share = (double) mStore.bytesPerSecond() / Math.max(1, mRunning.size());
        mRunning.forEach(load -> load.mBytesLeft -= share * seconds);
    }

    private void scheduleNextEnd() {
        mNextEnd.cancel();
        double share = (double) mStore.bytesPerSecond() / Math.max(1, mRunning.size());
        mRunning.stream()
                .mapToDouble(load -> Math.max(0, load.mBytesLeft) / share * NANOS_PER_SECOND)
                .min()
                .ifPresent(
                        nanos ->
                                mNextEnd =
                                        mScheduler.schedule(
                                                Duration.ofNanos((long) Math.ceil(nanos)),
                                                this::endLoads));
    }

    private void endLoads() {
        advanceLoads();
        List<Load> ended = mRunning.stream().filter(load -> load.mBytesLeft < 1).toList();
        mRunning.removeAll(ended);
        for (Load load : ended) {
            mBytesLoaded += load.mBytes;
            load.mEngine.loaded(load.mNumber, load.mOrder);
        }
        startLoads();
    }

    private static final class Load {
        private final MemoryEngine mEngine;
        private final UpstreamOrder mOrder;
        private final long mNumber;
        private final long mBytes;
        private double mBytesLeft;

        Load(MemoryEngine engine, UpstreamOrder order, long number, long bytes) {
            mEngine = engine;
            mOrder = order;
            mNumber = number;
            mBytes = bytes;
            mBytesLeft = bytes;
        }
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        throw new UnsupportedOperationException("engines held in memory generate nothing");
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        return CompletableFuture.completedFuture(new ServiceReply.NotSent("no service"));
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        return () -> {};
    }

    @Override
    public void close() {}
}
