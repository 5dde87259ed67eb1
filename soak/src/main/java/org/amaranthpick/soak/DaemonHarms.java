package org.amaranthpick.soak;

import java.time.Duration;

/**
 * Remembers when a daemon was killed, stood still, or was in the last sixth of its grace: times in
 * which its requests may end in any way.
 */
final class DaemonHarms {
    /** Time from the signal to stop in which requests end properly: five sixths of the grace. */
    private static final Duration PROPER =
            Duration.ofSeconds(SoakSite.GRACE_S).multipliedBy(5).dividedBy(6);

    private boolean mFrozen;
    private boolean mKilling;
    private boolean mStopping;
    private long mStopNs;
    private boolean mAny;
    private long mLastNs;

    synchronized void onFreeze(boolean still) {
        if (mFrozen || still) {
            harmed();
        }
        mFrozen = still;
    }

    synchronized void onEnding(boolean gently) {
        mKilling = !gently;
        mStopping = gently;
        mStopNs = System.nanoTime();
    }

    synchronized void onEnded() {
        if (isHarmed()) {
            harmed();
        }
        mFrozen = false;
        mKilling = false;
        mStopping = false;
    }

    /** Returns whether it was harmed at any time from one on, up to now. */
    synchronized boolean anySince(long ns) {
        return isHarmed() || (mAny && mLastNs - ns >= 0);
    }

    private boolean isHarmed() {
        return mFrozen
                || mKilling
                || (mStopping && System.nanoTime() - mStopNs >= PROPER.toNanos());
    }

    private void harmed() {
        mAny = true;
        mLastNs = System.nanoTime();
    }
}
