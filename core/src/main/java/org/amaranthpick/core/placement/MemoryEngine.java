package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** One engine of {@link MemoryEngines}: what it holds and how it behaves. */
public final class MemoryEngine {
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

    MemoryEngine(UpstreamSpec spec) {
        mSpec = spec;
        mHoldings = spec.initial();
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
     * Returns what it holds.
     *
     * @return holdings
     */
    public List<UpstreamSpec.Holding> holdings() {
        return mHoldings;
    }

    /**
     * Tells whether it runs.
     *
     * @return true if it answers
     */
    public boolean alive() {
        return mAlive;
    }

    /** Stops it; it answers nothing and loses what it held. */
    public void kill() {
        mAlive = false;
        mHoldings = List.of();
        mTargetNumber++;
    }

    /** Starts it again with what the manifest says it holds. */
    public void restart() {
        mAlive = true;
        mBoot++;
        mHoldings = mSpec.initial();
        mFence = 0;
    }

    /**
     * Makes it hold something at once, without a load.
     *
     * @param holdings what it holds from now on
     */
    public void loadNow(List<UpstreamSpec.Holding> holdings) {
        mHoldings = List.copyOf(holdings);
    }

    /**
     * Sets whether it is leaving.
     *
     * @param leaving true if it takes no new work
     */
    public void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /**
     * Sets the streams that it reports.
     *
     * @param streams streams running, true or not
     */
    public void setRunningStreams(int streams) {
        mRunningStreams = streams;
    }

    /**
     * Makes it load something else than it is told.
     *
     * @param holdings what it holds after the next loads; empty to do as told again
     */
    public void setWrongHoldings(List<UpstreamSpec.Holding> holdings) {
        mWrongHoldings = List.copyOf(holdings);
    }

    boolean isFenced(UpstreamOrder order) {
        return mSpec.honoursFencing() && order.fence() < mFence;
    }

    long fence() {
        return mFence;
    }

    /** Takes an order; returns the number of the new target. */
    long take(UpstreamOrder order) {
        mFence = Math.max(mFence, order.fence());
        mOrders.add(order);
        mHoldings = mHoldings.stream().filter(order.target()::contains).toList();
        return ++mTargetNumber;
    }

    /** Ends a load, unless another order came in between. */
    void loaded(long targetNumber, UpstreamOrder order) {
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
