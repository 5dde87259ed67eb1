package org.amaranthpick.core.claim;

import java.util.concurrent.atomic.LongAdder;

/** Counts the calls that the claims make to the store. */
public final class ClaimCounters {
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final LongAdder mWrittenBytes = new LongAdder();
    private final LongAdder mConflicts = new LongAdder();
    private final LongAdder mUnknowns = new LongAdder();

    void onRead() {
        mReads.increment();
    }

    void onWrite(int bytes) {
        mWrites.increment();
        mWrittenBytes.add(bytes);
    }

    void onConflict() {
        mConflicts.increment();
    }

    void onUnknown() {
        mUnknowns.increment();
    }

    /**
     * Returns the number of reads and lists sent to the store.
     *
     * @return count since the process started
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Returns the number of writes and deletes sent to the store.
     *
     * @return count since the process started
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Returns the total size of the values sent in writes.
     *
     * @return bytes since the process started
     */
    public long writtenBytes() {
        return mWrittenBytes.sum();
    }

    /**
     * Returns the number of head writes refused because another daemon had written first.
     *
     * @return count since the process started
     */
    public long conflicts() {
        return mConflicts.sum();
    }

    /**
     * Returns the number of journal writes whose result is unknown.
     *
     * @return count since the process started
     */
    public long unknowns() {
        return mUnknowns.sum();
    }
}
