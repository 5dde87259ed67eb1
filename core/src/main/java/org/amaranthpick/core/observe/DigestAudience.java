package org.amaranthpick.core.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** What one audience was told last, and so what the next digest must tell it. */
final class DigestAudience {
    private final long mPeriodNs;
    private final int mRefreshEvery;
    private final double mMinStreamChange;
    private final Map<Identity, LoadEntry> mTold = new HashMap<>();
    private long mSequence;
    private long mNextNs;

    DigestAudience(long periodNs, int refreshEvery, double minStreamChange) {
        mPeriodNs = periodNs;
        mRefreshEvery = refreshEvery;
        mMinStreamChange = minStreamChange;
    }

    /**
     * Takes the entries of the next digest, if one is due. A change of facts makes it due at once.
     *
     * @param nowNs monotonic time
     * @param entries present loads
     * @return entries to send, empty if nothing is due; may be an empty list
     */
    Optional<List<LoadEntry>> next(long nowNs, Map<Identity, LoadEntry> entries) {
        boolean due = nowNs >= mNextNs;
        boolean urgent = false;
        for (Map.Entry<Identity, LoadEntry> entry : entries.entrySet()) {
            LoadEntry told = mTold.get(entry.getKey());
            urgent |= told == null || !told.sameFacts(entry.getValue());
        }
        if (!due && !urgent) {
            return Optional.empty();
        }
        if (due) {
            mNextNs = nowNs + mPeriodNs;
        }
        mSequence++;
        boolean full = mSequence % mRefreshEvery == 0;
        List<LoadEntry> changed = new ArrayList<>();
        entries.forEach(
                (upstream, entry) -> {
                    LoadEntry told = mTold.get(upstream);
                    if (full || told == null || differs(told, entry)) {
                        mTold.put(upstream, entry);
                        changed.add(entry);
                    }
                });
        mTold.keySet().retainAll(entries.keySet());
        return Optional.of(changed);
    }

    long sequence() {
        return mSequence;
    }

    private boolean differs(LoadEntry told, LoadEntry entry) {
        if (told.sameLoad(entry)) {
            return false;
        }
        boolean small =
                told.sameFacts(entry)
                        && Math.abs(told.queuedBucket() - entry.queuedBucket()) <= 1
                        && Math.abs(told.memoryBucket() - entry.memoryBucket()) <= 1
                        && Math.abs(told.streams() - entry.streams())
                                <= mMinStreamChange * told.streams();
        return !small;
    }
}
