package org.amaranthpick.soak;

import java.time.Duration;

/** Remembers when faults were in play that may break off streams. */
final class Disturbances {
    /** Time for which a fault is felt once it is over. */
    private static final Duration AFTERMATH = Duration.ofSeconds(3);

    private int mInPlay;
    private boolean mAny;
    private long mLastEndNs;

    synchronized void begin() {
        mInPlay++;
        mAny = true;
    }

    synchronized void end() {
        mInPlay--;
        mLastEndNs = System.nanoTime();
    }

    /** Returns whether one was felt from a time on, up to now. */
    synchronized boolean anySince(long ns) {
        return mInPlay > 0 || (mAny && mLastEndNs + AFTERMATH.toNanos() >= ns);
    }
}
