package org.amaranthpick.core.explain;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** Decision log that writes one log line per decision and keeps the newest subjects in memory. */
public final class DecisionTrail implements DecisionLog {
    /** Entries kept per subject; later ones are dropped. */
    public static final int MAX_ENTRIES_PER_SUBJECT = 64;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final InstantSource mClock;
    private final Cache<String, List<Entry>> mSubjects;

    /**
     * One decision.
     *
     * @param at when it was made
     * @param kind kind of the decision
     * @param text what was decided and why
     */
    public record Entry(Instant at, DecisionKind kind, String text) {}

    /**
     * Creates an empty trail.
     *
     * @param clock clock of the entries
     * @param maxSubjects subjects kept; older ones are forgotten
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
     * @return entries, oldest first; empty if the subject is unknown or forgotten
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
