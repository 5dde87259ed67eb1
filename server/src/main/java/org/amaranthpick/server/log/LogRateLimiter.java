package org.amaranthpick.server.log;

import java.util.logging.Level;

/**
 * Limits the number of log lines per second. Lines below warning level have a limit separate from
 * warnings and errors, so that they cannot displace them. Counts the dropped lines. Not
 * thread-safe.
 */
final class LogRateLimiter {
    private static final long SECOND_NS = 1_000_000_000L;

    private final int mMaxInfoLines;
    private final int mMaxWarningLines;
    private long mSecond;
    private int mInfoLines;
    private int mWarningLines;
    private int mDroppedCount;

    LogRateLimiter(int maxInfoLines, int maxWarningLines) {
        mMaxInfoLines = maxInfoLines;
        mMaxWarningLines = maxWarningLines;
    }

    /**
     * Resets the limits when a new second begins and returns the number of lines dropped since the
     * last reset. Returns 0 while the second is the same.
     */
    int takeDroppedCount(long nowNs) {
        if (nowNs / SECOND_NS == mSecond) {
            return 0;
        }
        mSecond = nowNs / SECOND_NS;
        mInfoLines = 0;
        mWarningLines = 0;
        int droppedCount = mDroppedCount;
        mDroppedCount = 0;
        return droppedCount;
    }

    /** Counts a line against the limit of its level; returns false if the limit is reached. */
    boolean tryAcquire(Level level) {
        boolean warning = level.intValue() >= Level.WARNING.intValue();
        boolean allowed = warning ? mWarningLines < mMaxWarningLines : mInfoLines < mMaxInfoLines;
        if (!allowed) {
            mDroppedCount++;
        } else if (warning) {
            mWarningLines++;
        } else {
            mInfoLines++;
        }
        return allowed;
    }

    /** Counts a line dropped because the queue is full. */
    void recordDropped() {
        mDroppedCount++;
    }
}
