package org.amaranthpick.core.explain;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** Decision log that writes a log line per decision and keeps the recent subjects in memory. */
public final class DecisionTrail implements DecisionLog {
    /** Maximum number of entries per subject; further entries are only logged. */
    public static final int MAX_ENTRIES_PER_SUBJECT = 64;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final InstantSource mClock;
    private final Cache<String, List<Entry>> mSubjects;

    /**
     * Recorded decision.
     *
     * @param at time of the decision
     * @param kind kind of the decision
     * @param text decision and its reason
     */
    public record Entry(Instant at, DecisionKind kind, String text) {}

    /**
     * Creates an empty trail.
     *
     * @param clock clock for the time of the entries
     * @param maxSubjects maximum number of subjects; further subjects evict others
     */
    public DecisionTrail(InstantSource clock, int maxSubjects) {
        mClock = clock;
        mSubjects = Caffeine.newBuilder().maximumSize(maxSubjects).executor(Runnable::run).build();
    }

    @Override
    public void record(DecisionKind kind, String subject, String text) {
        sLogger.atInfo().log("%s: %s %s", kind.label(), subject, text);
        Entry entry = new Entry(mClock.instant(), kind, text);
        List<Entry> entries = mSubjects.get(subject, key -> new ArrayList<>());
        synchronized (entries) {
            if (entries.size() < MAX_ENTRIES_PER_SUBJECT) {
                entries.add(entry);
            }
        }
    }

    /**
     * Returns the decisions on one subject.
     *
     * @param subject request id or resource key
     * @return entries, oldest first; empty if the subject is unknown or was evicted
     */
    public List<Entry> entries(String subject) {
        List<Entry> entries = mSubjects.getIfPresent(subject);
        if (entries == null) {
            return List.of();
        }
        synchronized (entries) {
            return List.copyOf(entries);
        }
    }
}
