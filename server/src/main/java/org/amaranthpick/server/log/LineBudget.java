package org.amaranthpick.server.log;

import java.util.logging.Level;

/**
 * Bounds the log lines of each second: notices of success are left out first, warnings and failures
 * have a budget of their own. Counts what was left out. Not thread-safe.
 */
final class LineBudget {
    private static final long SECOND_NS = 1_000_000_000L;

    private final int mMostNotices;
    private final int mMostFailures;
    private long mSecond;
    private int mNotices;
    private int mFailures;
    private int mLeftOut;

    LineBudget(int mostNotices, int mostFailures) {
        mMostNotices = mostNotices;
        mMostFailures = mostFailures;
    }

    /** Returns the lines left out in the seconds before this one, 0 if none or told already. */
    int takeLeftOut(long nowNs) {
        if (nowNs / SECOND_NS == mSecond) {
            return 0;
        }
        mSecond = nowNs / SECOND_NS;
        mNotices = 0;
        mFailures = 0;
        int leftOut = mLeftOut;
        mLeftOut = 0;
        return leftOut;
    }

    /** Takes a place for one line; returns false if there is none. */
    boolean take(Level level) {
        boolean failure = level.intValue() >= Level.WARNING.intValue();
        boolean fits = failure ? mFailures < mMostFailures : mNotices < mMostNotices;
        if (!fits) {
            mLeftOut++;
        } else if (failure) {
            mFailures++;
        } else {
            mNotices++;
        }
        return fits;
    }

    /** Counts a line that could not be queued. */
    void leaveOut() {
        mLeftOut++;
    }
}
