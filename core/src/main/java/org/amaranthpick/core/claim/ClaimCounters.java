package org.amaranthpick.core.claim;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the claims do at the store. */
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
     * Returns the reads and lists sent to the store.
     *
     * @return count since the process started
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Returns the writes and deletes sent to the store.
     *
     * @return count since the process started
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Returns the bytes of all values written.
     *
     * @return bytes since the process started
     */
    public long writtenBytes() {
        return mWrittenBytes.sum();
    }

    /**
     * Returns the writes that met another writer.
     *
     * @return count since the process started
     */
    public long conflicts() {
        return mConflicts.sum();
    }

    /**
     * Returns the writes whose answer was lost.
     *
     * @return count since the process started
     */
    public long unknowns() {
        return mUnknowns.sum();
    }
}
