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
 * Simulated engines that accept orders and load weights at the rate of the weight store, for
 * single-threaded tests and benchmarks. They do not generate tokens.
 */
public final class SimulatedEngines implements UpstreamClient {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scheduler mScheduler;
    private final WeightStoreSpec mWeightStore;
    private final Map<Identity, ModelVersionSpec> mModels = new TreeMap<>();
    private final Map<Identity, SimulatedEngine> mEngines = new TreeMap<>();
    private final Deque<Load> mWaiting = new ArrayDeque<>();
    private Duration mOrderDelay = Duration.ZERO;
    private boolean mLosesReplies;
    private final List<Load> mRunning = new ArrayList<>();
    private Cancellable mNextCompletion = () -> {};
    private long mLoadsUpdatedNs;
    private int mPeakLoads;
    private long mBytesLoaded;

    /**
     * Creates the engines of a configuration.
     *
     * @param scheduler clock and timers
     * @param configuration engines and model versions
     * @param store weight store that all engines load from
     */
    public SimulatedEngines(
            Scheduler scheduler, Configuration configuration, WeightStoreSpec store) {
        mScheduler = scheduler;
        mWeightStore = store;
        configuration.manifest().modelVersions().forEach(m -> mModels.put(m.id(), m));
        configuration
                .manifest()
                .upstreams()
                .forEach(u -> mEngines.put(u.id(), new SimulatedEngine(u)));
    }

    /**
     * Returns one engine.
     *
     * @param id identity of kind UPSTREAM
     * @return the engine
     */
    public SimulatedEngine engine(Identity id) {
        return mEngines.get(id);
    }

    /**
     * Returns all engines.
     *
     * @return engines sorted by identity
     */
    public Collection<SimulatedEngine> engines() {
        return mEngines.values();
    }

    /**
     * Sets the transit time of orders.
     *
     * @param delay time from sending an order until it takes effect
     */
    public void setOrderDelay(Duration delay) {
        mOrderDelay = delay;
    }

    /**
     * Sets whether replies to orders are lost.
     *
     * @param lost true if orders take effect without a reply
     */
    public void setLosesReplies(boolean lost) {
        mLosesReplies = lost;
    }

    /**
     * Returns the peak number of concurrent loads.
     *
     * @return peak number of loads running at or waiting for the weight store
     */
    public int peakLoads() {
        return mPeakLoads;
    }

    /**
     * Returns the total number of bytes loaded.
     *
     * @return bytes
     */
    public long bytesLoaded() {
        return mBytesLoaded;
    }

    /**
     * Writes an observation of every engine to a blackboard; stopped engines are lost.
     *
     * @param board blackboard
     */
    public void report(Blackboard board) {
        for (SimulatedEngine engine : mEngines.values()) {
            Identity id = engine.spec().id();
            UpstreamObservation.Reachability reachability =
                    engine.alive()
                            ? UpstreamObservation.Reachability.REACHABLE
                            : UpstreamObservation.Reachability.LOST;
            UpstreamStatus status = engine.status(mScheduler.instant().toEpochMilli());
            board.upstreams()
                    .put(
                            id,
                            new UpstreamObservation(
                                    id, status, mScheduler.instant(), reachability));
        }
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        SimulatedEngine engine = mEngines.get(upstream.id());
        long nowMs = mScheduler.instant().toEpochMilli();
        return CompletableFuture.completedFuture(
                engine.alive() ? Optional.of(engine.status(nowMs)) : Optional.empty());
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        SimulatedEngine engine = mEngines.get(upstream.id());
        CompletableFuture<OrderReply> reply = new CompletableFuture<>();
        if (mOrderDelay.isZero()) {
            reply.complete(execute(engine, order));
        } else {
            mScheduler.schedule(mOrderDelay, () -> reply.complete(execute(engine, order)));
        }
        return reply;
    }

    private OrderReply execute(SimulatedEngine engine, UpstreamOrder order) {
        if (!engine.alive()) {
            return new OrderReply.Unknown("no answer");
        }
        if (engine.isOutdated(order)) {
            return new OrderReply.Fenced(engine.fence());
        }
        long bytes = bytesToLoad(engine, order);
        long number = engine.accept(order);
        mWaiting.add(new Load(engine, order, number, bytes));
        startLoads();
        return mLosesReplies ? new OrderReply.Unknown("lost") : new OrderReply.Accepted();
    }

    private long bytesToLoad(SimulatedEngine engine, UpstreamOrder order) {
        return order.target().stream()
                .filter(target -> !engine.holdings().contains(target))
                .mapToLong(
                        target ->
                                mModels.get(target.modelVersion()).layerWeightBytes()
                                        * target.layers().size())
                .sum();
    }

    /** Starts waiting loads; all running loads share the rate of the weight store equally. */
    private void startLoads() {
        mPeakLoads = Math.max(mPeakLoads, mRunning.size() + mWaiting.size());
        advanceLoads();
        while (!mWaiting.isEmpty() && mRunning.size() < mWeightStore.concurrentLoads()) {
            mRunning.add(mWaiting.poll());
        }
        scheduleNextCompletion();
    }

    private void advanceLoads() {
        double seconds = (mScheduler.monotonicNs() - mLoadsUpdatedNs) / NANOS_PER_SECOND;
        mLoadsUpdatedNs = mScheduler.monotonicNs();
        double bytesPerSecond =
                (double) mWeightStore.bytesPerSecond() / Math.max(1, mRunning.size());
        mRunning.forEach(load -> load.mBytesLeft -= bytesPerSecond * seconds);
    }

    private void scheduleNextCompletion() {
        mNextCompletion.cancel();
        double bytesPerSecond =
                (double) mWeightStore.bytesPerSecond() / Math.max(1, mRunning.size());
        mRunning.stream()
                .mapToDouble(
                        load -> Math.max(0, load.mBytesLeft) / bytesPerSecond * NANOS_PER_SECOND)
                .min()
                .ifPresent(
                        nanos ->
                                mNextCompletion =
                                        mScheduler.schedule(
                                                Duration.ofNanos((long) Math.ceil(nanos)),
                                                this::completeLoads));
    }

    private void completeLoads() {
        advanceLoads();
        List<Load> completed = mRunning.stream().filter(load -> load.mBytesLeft < 1).toList();
        mRunning.removeAll(completed);
        for (Load load : completed) {
            mBytesLoaded += load.mBytes;
            load.mEngine.completeLoad(load.mNumber, load.mOrder);
        }
        startLoads();
    }

    private static final class Load {
        private final SimulatedEngine mEngine;
        private final UpstreamOrder mOrder;
        private final long mNumber;
        private final long mBytes;
        private double mBytesLeft;

        Load(SimulatedEngine engine, UpstreamOrder order, long number, long bytes) {
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
        throw new UnsupportedOperationException("simulated engines do not generate tokens");
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        return CompletableFuture.completedFuture(
                new ServiceReply.NotSent("not a service instance"));
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        return () -> {};
    }

    @Override
    public void close() {}
}
