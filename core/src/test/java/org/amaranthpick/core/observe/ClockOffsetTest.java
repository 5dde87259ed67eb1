package org.amaranthpick.core.observe;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClockOffsetTest {
    private static final long SKEW_MS = 123_456;
    private static final int MESSAGES = 2_000;

    /** Source stamps remove at least three quarters of the error that jitter puts on arrivals. */
    @ParameterizedTest
    @ValueSource(ints = {20, 80, 300})
    void jitterIsRemoved(int jitterMs) {
        RandomGenerator random = new Random(jitterMs);
        ClockOffset offset = new ClockOffset();
        double byArrival = 0;
        double byStamp = 0;
        for (int i = 0; i < MESSAGES; i++) {
            long sentMs = i * 1_000L;
            long arrivedMs = sentMs + 1 + random.nextInt(jitterMs);
            long estimatedMs = offset.localTime(sentMs + SKEW_MS, arrivedMs);
            byArrival += arrivedMs - sentMs;
            byStamp += Math.abs(estimatedMs - sentMs);
        }
        String errors =
                String.format(
                        "mean error %.1f ms by stamp, %.1f ms by arrival",
                        byStamp / MESSAGES, byArrival / MESSAGES);
        assertTrue(byStamp <= byArrival / 4, errors);
    }

    /** A lasting rise of the latency is followed. */
    @ParameterizedTest
    @ValueSource(ints = {5, 15})
    void lastingRiseIsFollowed(int riseMs) {
        ClockOffset offset = new ClockOffset();
        long estimatedMs = 0;
        for (int i = 0; i < 300; i++) {
            long sentMs = i * 1_000L;
            long arrivedMs = sentMs + 1 + (i > 100 ? riseMs : 0);
            estimatedMs = offset.localTime(sentMs + SKEW_MS, arrivedMs) - sentMs;
        }
        assertTrue(estimatedMs >= riseMs, "estimate " + estimatedMs + " ms after send");
    }
}
