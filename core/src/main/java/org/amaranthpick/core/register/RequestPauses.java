package org.amaranthpick.core.register;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Upstreams that turned a request away and asked for no more of this daemon for a time. Nothing is
 * sent to them until it has passed: neither requests nor queries, orders or probes. Confined to one
 * thread.
 */
public final class RequestPauses {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Longest pause that is kept; an upstream that asks for more is asked again after it. */
    public static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private static final int MAX_PAUSES = 4096;

    private final Map<String, Long> mUntilNs = new HashMap<>();

    /**
     * Records that an upstream asks for a pause. The later of two ends counts.
     *
     * @param incarnation id of the upstream and its start
     * @param pause time from now; zero or less is none
     * @param nowNs monotonic time
     */
    public void onPause(String incarnation, Duration pause, long nowNs) {
        mUntilNs.values().removeIf(untilNs -> nowNs >= untilNs);
        if (pause.isNegative() || pause.isZero() || mUntilNs.size() >= MAX_PAUSES) {
            return;
        }
        Duration kept = pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause;
        mUntilNs.merge(incarnation, nowNs + kept.toNanos(), Math::max);
        sLogger.atInfo().log("pause: upstream=%s for_ms=%d", incarnation, kept.toMillis());
    }

    /**
     * Returns how much longer an upstream wants nothing.
     *
     * @param incarnation id of the upstream and its start
     * @param nowNs monotonic time
     * @return time left, empty if it may be sent requests
     */
    public Optional<Duration> timeLeft(String incarnation, long nowNs) {
        Long untilNs = mUntilNs.get(incarnation);
        return untilNs == null || nowNs >= untilNs
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(untilNs - nowNs));
    }
}
