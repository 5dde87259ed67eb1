package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.time.Scheduler;

/**
 * Bounds the requests in progress by a window per group that follows the delay of tokens: it grows
 * while first tokens come near their floor and the others at the pace aimed at, so that engines are
 * kept busy, and shrinks when queues build up there or streams slow down. What does not fit waits
 * here, where urgent requests can pass. Urgent requests may exceed the window by a reserve.
 */
public final class DelayWindowGate implements CapacityGate {
    private static final long FLOOR_MEMORY_NS = Duration.ofSeconds(30).toNanos();
    private static final double USED_SHARE = 0.9;
    private static final double GROWTH = 4;
    private static final double SHRINK = 0.9;
    private static final double PACE_STEP = 0.05;
    private static final double PACE_TOLERANCE = 1.05;
    private static final double PACE_FACTOR = 1.25;
    private static final long PACE_MEMORY_NS = Duration.ofSeconds(60).toNanos();
    private static final long PACE_PERIOD_NS = Duration.ofSeconds(1).toNanos();

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
     * @param betweenTarget time between tokens that the window aims at
     * @param urgentPriority priority from which the reserve may be used
     * @param urgentReserve reserve as a share of the window
     */
    public record Settings(
            int first,
            int smallest,
            int largest,
            Duration delayTarget,
            Duration betweenTarget,
            int urgentPriority,
            double urgentReserve) {
        /** Settings for daily use. */
        public static final Settings DEFAULT =
                new Settings(64, 4, 16_384, Duration.ofMillis(250), Duration.ofMillis(16), 6, 0.25);
    }

    /** Window of one group. */
    private static final class Window {
        private double mSize;
        private int mInProgress;
        private double mFloorNs = Double.MAX_VALUE;
        private long mFloorAtNs;
        private long mShrunkAtNs = Long.MIN_VALUE;
        private boolean mShrunk;
        private double mFirstNs;
        private double mBetweenNs;
        private double mPaceFloorNs = Double.MAX_VALUE;
        private long mPaceFloorAtNs;

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
            window.mFirstNs =
                    window.mFirstNs == 0
                            ? elapsedNs
                            : window.mFirstNs + PACE_STEP * (elapsedNs - window.mFirstNs);
            if (window.mFirstNs > window.mFloorNs + mSettings.delayTarget().toNanos()) {
                shrink(window, nowNs, elapsedNs);
            } else if (window.mInProgress >= window.mSize * USED_SHARE && isPaced(window)) {
                double step = window.mShrunk ? GROWTH / window.mSize : 1;
                window.mSize = Math.min(mSettings.largest(), window.mSize + step);
            }
        }
    }

    /**
     * Takes the pace of one stream.
     *
     * @param group key of the model version
     * @param tokens tokens that came
     * @param elapsed time in which they came
     */
    public void onTokens(String group, int tokens, Duration elapsed) {
        Window window = window(group);
        long nowNs = mScheduler.monotonicNs();
        double betweenNs = elapsed.toNanos() / (double) tokens;
        synchronized (window) {
            window.mBetweenNs =
                    window.mBetweenNs == 0
                            ? betweenNs
                            : window.mBetweenNs + PACE_STEP * (betweenNs - window.mBetweenNs);
            boolean stale = nowNs - window.mPaceFloorAtNs > PACE_MEMORY_NS;
            if (window.mBetweenNs < window.mPaceFloorNs || stale) {
                window.mPaceFloorNs = window.mBetweenNs;
                window.mPaceFloorAtNs = nowNs;
            }
            if (window.mBetweenNs > paceTargetNs(window) * PACE_TOLERANCE) {
                shrink(window, nowNs, PACE_PERIOD_NS);
            }
        }
    }

    private boolean isPaced(Window window) {
        return window.mBetweenNs <= paceTargetNs(window);
    }

    /** Returns the target, or what the engines can do if they cannot reach it. */
    private double paceTargetNs(Window window) {
        double reachable =
                window.mPaceFloorNs == Double.MAX_VALUE ? 0 : PACE_FACTOR * window.mPaceFloorNs;
        return Math.max((double) mSettings.betweenTarget().toNanos(), reachable);
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
            window.mShrunk = true;
            window.mSize = Math.max(mSettings.smallest(), window.mSize * SHRINK);
        }
    }

    private Window window(String group) {
        return mWindows.computeIfAbsent(group, key -> new Window(mSettings.first()));
    }
}
