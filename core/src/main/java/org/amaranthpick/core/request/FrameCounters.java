package org.amaranthpick.core.request;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts token frames by what became of them, over all requests. */
public final class FrameCounters {
    private final Map<FrameVerdict, LongAdder> mCounts = new EnumMap<>(FrameVerdict.class);

    /** Creates counters at zero. */
    public FrameCounters() {
        for (FrameVerdict verdict : FrameVerdict.values()) {
            mCounts.put(verdict, new LongAdder());
        }
    }

    /**
     * Counts one frame.
     *
     * @param verdict what became of it
     */
    void count(FrameVerdict verdict) {
        mCounts.get(verdict).increment();
    }

    /**
     * Returns the frames with one verdict.
     *
     * @param verdict verdict
     * @return count since the process started
     */
    public long get(FrameVerdict verdict) {
        return mCounts.get(verdict).sum();
    }
}
