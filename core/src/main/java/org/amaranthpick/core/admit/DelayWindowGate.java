package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.time.Scheduler;

/**
 * Bounds the requests in progress by a window per group that follows the delay of first tokens: it
 * grows while the delay stays near its floor, so that engines are kept busy, and shrinks when
 * queues build up there. What does not fit waits here, where urgent requests can pass. Urgent
 * requests may exceed the window by a reserve.
 */
public final class DelayWindowGate implements CapacityGate {
    private static final long FLOOR_MEMORY_NS = Duration.ofSeconds(30).toNanos();
    private static final double USED_SHARE = 0.9;
    private static final double GROWTH = 4;
    private static final double SHRINK = 0.9;

    private final Settings mSettings;
    private final Scheduler mScheduler;
    private final Map<String, Window> mWindows = new ConcurrentHashMap<>();

    /**
     * Settings of the gate.
     *
     * @param first window at the start, in requests
     * @param smallest smallest window
     * @param largest largest window
     * @param delayTarget queueing delay above the floor that the window aims at
     * @param urgentPriority priority from which the reserve may be used
     * @param urgentReserve reserve as a share of the window
     */
    public record Settings(
            int first,
            int smallest,
            int largest,
            Duration delayTarget,
            int urgentPriority,
            double urgentReserve) {
        /** Settings for daily use. */
        public static final Settings DEFAULT =
                new Settings(64, 4, 16_384, Duration.ofMillis(250), 6, 0.25);
    }

    /** Window of one group. */
    private static final class Window {
        private double mSize;
        private int mInProgress;
        private double mFloorNs = Double.MAX_VALUE;
        private long mFloorAtNs;
        private long mShrunkAtNs = Long.MIN_VALUE;

        Window(double size) {
            mSize = size;
        }
    }

    /**
     * Creates a gate.
     *
     * @param settings settings
     * @param scheduler clock
     */
    public DelayWindowGate(Settings settings, Scheduler scheduler) {
        mSettings = settings;
        mScheduler = scheduler;
    }

    @Override
    public boolean tryEnter(String group, int priority) {
        Window window = window(group);
        synchronized (window) {
            double size = window.mSize;
            if (priority >= mSettings.urgentPriority()) {
                size += Math.max(1, size * mSettings.urgentReserve());
            }
            if (window.mInProgress >= size) {
                return false;
            }
            window.mInProgress++;
            return true;
        }
    }

    @Override
    public void leave(String group) {
        Window window = window(group);
        synchronized (window) {
            window.mInProgress = Math.max(0, window.mInProgress - 1);
        }
    }

    /**
     * Takes the delay of one first token.
     *
     * @param group key of the model version
     * @param elapsed time from sending to the first token
     */
    public void onFirstToken(String group, Duration elapsed) {
        Window window = window(group);
        long nowNs = mScheduler.monotonicNs();
        long elapsedNs = elapsed.toNanos();
        synchronized (window) {
            if (elapsedNs < window.mFloorNs || nowNs - window.mFloorAtNs > FLOOR_MEMORY_NS) {
                window.mFloorNs = elapsedNs;
                window.mFloorAtNs = nowNs;
            }
            if (elapsedNs > window.mFloorNs + mSettings.delayTarget().toNanos()) {
                shrink(window, nowNs, elapsedNs);
            } else if (window.mInProgress >= window.mSize * USED_SHARE) {
                double next = window.mSize + GROWTH / window.mSize;
                window.mSize = Math.min(mSettings.largest(), next);
            }
        }
    }

    /**
     * Returns the window of a group.
     *
     * @param group key of the model version
     * @param priority 0 (lowest) to 9
     * @return requests that may be in progress
     */
    public int window(String group, int priority) {
        Window window = window(group);
        synchronized (window) {
            double reserve = priority >= mSettings.urgentPriority() ? mSettings.urgentReserve() : 0;
            return (int) (window.mSize * (1 + reserve));
        }
    }

    private void shrink(Window window, long nowNs, long elapsedNs) {
        boolean again = nowNs - elapsedNs >= window.mShrunkAtNs;
        if (window.mShrunkAtNs == Long.MIN_VALUE || again) {
            window.mShrunkAtNs = nowNs;
            window.mSize = Math.max(mSettings.smallest(), window.mSize * SHRINK);
        }
    }

    private Window window(String group) {
        return mWindows.computeIfAbsent(group, key -> new Window(mSettings.first()));
    }
}
