package org.amaranthpick.core.invariant;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.FormatMethod;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Checks invariants at run time. A violation is counted and logged, and fails a test run. */
public final class Invariants {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String LOG_PREFIX = "invariant:";

    private final Map<Invariant, AtomicLong> mViolations = new EnumMap<>(Invariant.class);

    /** Creates counters at zero. */
    public Invariants() {
        for (Invariant invariant : Invariant.values()) {
            mViolations.put(invariant, new AtomicLong());
        }
    }

    /**
     * Checks one invariant.
     *
     * @param invariant invariant to check
     * @param holds whether it holds
     * @param detail format string of the detail logged on a violation
     * @param args arguments of the format
     * @return {@code holds}
     */
    @FormatMethod
    public boolean check(Invariant invariant, boolean holds, String detail, Object... args) {
        if (!holds) {
            mViolations.get(invariant).incrementAndGet();
            sLogger.atSevere().log(
                    "%s %s violated: %s",
                    LOG_PREFIX, invariant.label(), String.format(detail, args));
        }
        return holds;
    }

    /**
     * Returns the number of violations of one invariant.
     *
     * @param invariant invariant
     * @return count since the process started
     */
    public long violations(Invariant invariant) {
        return mViolations.get(invariant).get();
    }

    /**
     * Returns the number of violations of all invariants.
     *
     * @return count since the process started
     */
    public long total() {
        return mViolations.values().stream().mapToLong(AtomicLong::get).sum();
    }
}
