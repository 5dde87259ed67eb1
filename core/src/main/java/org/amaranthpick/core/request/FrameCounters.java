package org.amaranthpick.core.request;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of token frames by verdict, over all requests. */
public final class FrameCounters {
    private final Map<FrameVerdict, LongAdder> mCounts = new EnumMap<>(FrameVerdict.class);

    /** Creates the counters with zero frames. */
    public FrameCounters() {
        for (FrameVerdict verdict : FrameVerdict.values()) {
            mCounts.put(verdict, new LongAdder());
        }
    }

    /**
     * Counts one frame.
     *
     * @param verdict verdict on the frame
     */
    void count(FrameVerdict verdict) {
        mCounts.get(verdict).increment();
    }

    /**
     * Returns the number of frames with a verdict.
     *
     * @param verdict verdict to count
     * @return count since the process started
     */
    public long get(FrameVerdict verdict) {
        return mCounts.get(verdict).sum();
    }
}
