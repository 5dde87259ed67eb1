package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.time.Scheduler;

/**
 * Bounds the requests in progress by a window per group that is controlled by token delays. The
 * window grows while the time to the first token stays near its floor and the token interval on
 * target, so that engines are kept busy. It shrinks when requests queue at the engines or streams
 * slow down. Requests above the window wait in this daemon, where urgent ones can overtake them,
 * rather than at the engines. Urgent requests may exceed the window by a reserve.
 */
public final class DelayWindowGate implements CapacityGate {
    private static final long FIRST_TOKEN_FLOOR_RETENTION_NS = Duration.ofSeconds(30).toNanos();
    private static final double MIN_UTILIZATION = 0.9;
    private static final double GROWTH_PER_WINDOW = 4;
    private static final double SHRINK_FACTOR = 0.9;
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double INTERVAL_TOLERANCE = 1.05;
    private static final double INTERVAL_FLOOR_FACTOR = 1.25;
    private static final long INTERVAL_FLOOR_RETENTION_NS = Duration.ofSeconds(60).toNanos();
    private static final long INTERVAL_SHRINK_PERIOD_NS = Duration.ofSeconds(1).toNanos();

    private final Settings mSettings;
    private final Scheduler mScheduler;
    private final Map<String, Window> mWindows = new ConcurrentHashMap<>();

    /**
     * Settings of the gate.
     *
     * @param initialWindow initial window, in requests
     * @param minWindow minimum window, in requests
     * @param maxWindow maximum window, in requests
     * @param delayTarget target of the queueing delay: mean time to the first token above its floor
     * @param tokenIntervalTarget target of the mean time between tokens
     * @param urgentPriority lowest priority that may use the reserve
     * @param urgentReserve reserve as a share of the window
     */
    public record Settings(
            int initialWindow,
            int minWindow,
            int maxWindow,
            Duration delayTarget,
            Duration tokenIntervalTarget,
            int urgentPriority,
            double urgentReserve) {
        /** Default settings. */
        public static final Settings DEFAULT =
                new Settings(64, 4, 16_384, Duration.ofMillis(250), Duration.ofMillis(16), 6, 0.25);
    }

    /** Window of one group. */
    private static final class Window {
        private double mSize;
        private int mInProgress;
        private double mFirstTokenFloorNs = Double.MAX_VALUE;
        private long mFirstTokenFloorSetNs;
        private long mLastShrunkNs = Long.MIN_VALUE;
        private boolean mHasShrunk;
        private double mMeanFirstTokenNs;
        private double mMeanIntervalNs;
        private double mIntervalFloorNs = Double.MAX_VALUE;
        private long mIntervalFloorSetNs;

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
    public boolean tryAcquire(String group, int priority) {
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
    public void release(String group) {
        Window window = window(group);
        synchronized (window) {
            window.mInProgress = Math.max(0, window.mInProgress - 1);
        }
    }

    /**
     * Records the delay of a first token and adjusts the window.
     *
     * @param group key of the model version
     * @param elapsed time from sending to the first token
     */
    public void onFirstToken(String group, Duration elapsed) {
        Window window = window(group);
        long nowNs = mScheduler.monotonicNs();
        long elapsedNs = elapsed.toNanos();
        synchronized (window) {
            if (elapsedNs < window.mFirstTokenFloorNs
                    || nowNs - window.mFirstTokenFloorSetNs > FIRST_TOKEN_FLOOR_RETENTION_NS) {
                window.mFirstTokenFloorNs = elapsedNs;
                window.mFirstTokenFloorSetNs = nowNs;
            }
            window.mMeanFirstTokenNs =
                    window.mMeanFirstTokenNs == 0
                            ? elapsedNs
                            : window.mMeanFirstTokenNs
                                    + SMOOTHING_FACTOR * (elapsedNs - window.mMeanFirstTokenNs);
            if (window.mMeanFirstTokenNs
                    > window.mFirstTokenFloorNs + mSettings.delayTarget().toNanos()) {
                shrink(window, nowNs, elapsedNs);
            } else if (window.mInProgress >= window.mSize * MIN_UTILIZATION
                    && isIntervalOnTarget(window)) {
                double step = window.mHasShrunk ? GROWTH_PER_WINDOW / window.mSize : 1;
                window.mSize = Math.min(mSettings.maxWindow(), window.mSize + step);
            }
        }
    }

    /**
     * Records the token interval of a stream and shrinks the window if the mean is too high.
     *
     * @param group key of the model version
     * @param tokens number of tokens that arrived
     * @param elapsed time in which they arrived
     */
    public void onTokens(String group, int tokens, Duration elapsed) {
        Window window = window(group);
        long nowNs = mScheduler.monotonicNs();
        double intervalNs = elapsed.toNanos() / (double) tokens;
        synchronized (window) {
            window.mMeanIntervalNs =
                    window.mMeanIntervalNs == 0
                            ? intervalNs
                            : window.mMeanIntervalNs
                                    + SMOOTHING_FACTOR * (intervalNs - window.mMeanIntervalNs);
            boolean floorExpired = nowNs - window.mIntervalFloorSetNs > INTERVAL_FLOOR_RETENTION_NS;
            if (window.mMeanIntervalNs < window.mIntervalFloorNs || floorExpired) {
                window.mIntervalFloorNs = window.mMeanIntervalNs;
                window.mIntervalFloorSetNs = nowNs;
            }
            if (window.mMeanIntervalNs > intervalTargetNs(window) * INTERVAL_TOLERANCE) {
                shrink(window, nowNs, INTERVAL_SHRINK_PERIOD_NS);
            }
        }
    }

    private boolean isIntervalOnTarget(Window window) {
        return window.mMeanIntervalNs <= intervalTargetNs(window);
    }

    /**
     * Returns the target of the token interval, or a multiple of the interval floor if the engines
     * cannot reach the target.
     */
    private double intervalTargetNs(Window window) {
        double reachableNs =
                window.mIntervalFloorNs == Double.MAX_VALUE
                        ? 0
                        : INTERVAL_FLOOR_FACTOR * window.mIntervalFloorNs;
        return Math.max((double) mSettings.tokenIntervalTarget().toNanos(), reachableNs);
    }

    /**
     * Returns the window of a group.
     *
     * @param group key of the model version
     * @param priority 0 (lowest) to 9
     * @return number of requests that may be in progress
     */
    public int window(String group, int priority) {
        Window window = window(group);
        synchronized (window) {
            double reserve = priority >= mSettings.urgentPriority() ? mSettings.urgentReserve() : 0;
            return (int) (window.mSize * (1 + reserve));
        }
    }

    private void shrink(Window window, long nowNs, long elapsedNs) {
        boolean responseToShrink = nowNs - elapsedNs >= window.mLastShrunkNs;
        if (window.mLastShrunkNs == Long.MIN_VALUE || responseToShrink) {
            window.mLastShrunkNs = nowNs;
            window.mHasShrunk = true;
            window.mSize = Math.max(mSettings.minWindow(), window.mSize * SHRINK_FACTOR);
        }
    }

    private Window window(String group) {
        return mWindows.computeIfAbsent(group, key -> new Window(mSettings.initialWindow()));
    }
}
