package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Simulated engine of {@link SimulatedEngines}: its holdings and its configurable faults. */
public final class SimulatedEngine {
    private final UpstreamSpec mSpec;
    private final List<UpstreamOrder> mOrders = new ArrayList<>();
    private List<UpstreamSpec.Holding> mHoldings;
    private List<UpstreamSpec.Holding> mWrongHoldings = List.of();
    private boolean mAlive = true;
    private boolean mLeaving;
    private int mRunningStreams;
    private int mBoot = 1;
    private long mFence;
    private long mTargetNumber;

    SimulatedEngine(UpstreamSpec spec) {
        mSpec = spec;
        mHoldings = spec.initialHoldings();
    }

    /**
     * Returns the engine as configured.
     *
     * @return configuration
     */
    public UpstreamSpec spec() {
        return mSpec;
    }

    /**
     * Returns the orders that took effect.
     *
     * @return orders, oldest first
     */
    public List<UpstreamOrder> orders() {
        return mOrders;
    }

    /**
     * Returns its holdings.
     *
     * @return holdings
     */
    public List<UpstreamSpec.Holding> holdings() {
        return mHoldings;
    }

    /**
     * Returns whether it is running.
     *
     * @return true if it answers
     */
    public boolean alive() {
        return mAlive;
    }

    /** Stops the engine: it no longer answers and loses its holdings. */
    public void kill() {
        mAlive = false;
        mHoldings = List.of();
        mTargetNumber++;
    }

    /** Restarts the engine with the initial holdings of the manifest. */
    public void restart() {
        mAlive = true;
        mBoot++;
        mHoldings = mSpec.initialHoldings();
        mFence = 0;
    }

    /**
     * Sets its holdings at once, without a load.
     *
     * @param holdings new holdings
     */
    public void setHoldings(List<UpstreamSpec.Holding> holdings) {
        mHoldings = List.copyOf(holdings);
    }

    /**
     * Sets whether it reports that it is leaving.
     *
     * @param leaving true if it accepts no new work
     */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /**
     * Sets the number of running streams that it reports.
     *
     * @param streams number to report, which may be impossible
     */
    public void setRunningStreams(int streams) {
        mRunningStreams = streams;
    }

    /**
     * Makes it load other holdings than ordered.
     *
     * @param holdings its holdings after the next loads; empty to follow orders again
     */
    public void setWrongHoldings(List<UpstreamSpec.Holding> holdings) {
        mWrongHoldings = List.copyOf(holdings);
    }

    boolean isOutdated(UpstreamOrder order) {
        return mSpec.honoursFencing() && order.fence() < mFence;
    }

    long fence() {
        return mFence;
    }

    /** Accepts an order and returns the number of the new target. */
    long accept(UpstreamOrder order) {
        mFence = Math.max(mFence, order.fence());
        mOrders.add(order);
        mHoldings = mHoldings.stream().filter(order.target()::contains).toList();
        return ++mTargetNumber;
    }

    /** Completes a load, unless another order was accepted meanwhile. */
    void completeLoad(long targetNumber, UpstreamOrder order) {
        if (mAlive && targetNumber == mTargetNumber) {
            mHoldings = mWrongHoldings.isEmpty() ? order.target() : mWrongHoldings;
        }
    }

    UpstreamStatus status(long nowMs) {
        return new UpstreamStatus(
                "boot-" + mBoot,
                nowMs,
                mLeaving,
                mHoldings,
                mRunningStreams,
                0,
                0,
                mSpec.honoursFencing() ? Optional.of(mFence) : Optional.empty(),
                0);
    }
}
