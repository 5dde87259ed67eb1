package org.amaranthpick.core.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/**
 * Tracks the entries last sent to a group of receivers and selects the entries of the next digest.
 * Every so many digests are full; the others contain only the entries that changed.
 */
final class DigestDeltaTracker {
    private final long mPeriodNs;
    private final int mDigestsPerFull;
    private final double mMinStreamChange;
    private final Map<Identity, LoadEntry> mLastSent = new HashMap<>();
    private long mSequence;
    private long mNextDueNs;

    DigestDeltaTracker(long periodNs, int digestsPerFull, double minStreamChange) {
        mPeriodNs = periodNs;
        mDigestsPerFull = digestsPerFull;
        mMinStreamChange = minStreamChange;
    }

    /**
     * Returns the entries of the next digest if one is due, and records them as sent. A change of
     * reachability, leaving or metadata makes it due at once.
     *
     * @param nowNs monotonic time, nanoseconds
     * @param entries current entries by upstream
     * @return entries to send, perhaps none, or an empty optional if no digest is due
     */
    Optional<List<LoadEntry>> nextEntries(long nowNs, Map<Identity, LoadEntry> entries) {
        boolean due = nowNs >= mNextDueNs;
        boolean hasUrgentChange = false;
        for (Map.Entry<Identity, LoadEntry> entry : entries.entrySet()) {
            LoadEntry lastSent = mLastSent.get(entry.getKey());
            hasUrgentChange |= lastSent == null || !lastSent.hasSameUrgentState(entry.getValue());
        }
        if (!due && !hasUrgentChange) {
            return Optional.empty();
        }
        if (due) {
            mNextDueNs = nowNs + mPeriodNs;
        }
        mSequence++;
        boolean full = mSequence % mDigestsPerFull == 0;
        List<LoadEntry> entriesToSend = new ArrayList<>();
        entries.forEach(
                (upstream, entry) -> {
                    LoadEntry lastSent = mLastSent.get(upstream);
                    if (full || lastSent == null || isWorthSending(lastSent, entry)) {
                        mLastSent.put(upstream, entry);
                        entriesToSend.add(entry);
                    }
                });
        mLastSent.keySet().retainAll(entries.keySet());
        return Optional.of(entriesToSend);
    }

    long sequence() {
        return mSequence;
    }

    private boolean isWorthSending(LoadEntry lastSent, LoadEntry entry) {
        if (lastSent.hasSameState(entry)) {
            return false;
        }
        boolean isMinor =
                lastSent.hasSameUrgentState(entry)
                        && Math.abs(lastSent.queuedBucket() - entry.queuedBucket()) <= 1
                        && Math.abs(lastSent.freeMemoryBucket() - entry.freeMemoryBucket()) <= 1
                        && Math.abs(lastSent.streams() - entry.streams())
                                <= mMinStreamChange * lastSent.streams();
        return !isMinor;
    }
}
