package org.amaranthpick.server.store;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the store budget, for metrics. */
public final class BudgetCounters {
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final LongAdder mWaited = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mPauses = new LongAdder();
    private final AtomicInteger mWatches = new AtomicInteger();

    /** Creates counters at zero. */
    BudgetCounters() {}

    void countCall(boolean write) {
        (write ? mWrites : mReads).increment();
    }

    void countWaited() {
        mWaited.increment();
    }

    void countRefused() {
        mRefused.increment();
    }

    void countPause() {
        mPauses.increment();
    }

    void addWatches(int change) {
        mWatches.addAndGet(change);
    }

    /**
     * Returns the reads, lists and watches started.
     *
     * @return count since the start
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Returns the writes and deletes made.
     *
     * @return count since the start
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Returns the calls that waited for the budget.
     *
     * @return count since the start
     */
    public long waited() {
        return mWaited.sum();
    }

    /**
     * Returns the calls refused over the budget or in an outage.
     *
     * @return count since the start
     */
    public long refused() {
        return mRefused.sum();
    }

    /**
     * Returns the pauses made because the store failed.
     *
     * @return count since the start
     */
    public long pauses() {
        return mPauses.sum();
    }

    /**
     * Returns the open watches.
     *
     * @return present number
     */
    public int watches() {
        return mWatches.get();
    }
}
