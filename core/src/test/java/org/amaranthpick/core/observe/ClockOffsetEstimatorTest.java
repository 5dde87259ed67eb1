package org.amaranthpick.core.observe;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClockOffsetEstimatorTest {
    private static final long SKEW_MS = 123_456;
    private static final int MESSAGE_COUNT = 2_000;

    /** Estimates from send times remove at least three quarters of the error that jitter causes. */
    @ParameterizedTest
    @ValueSource(ints = {20, 80, 300})
    void jitterIsRemoved(int jitterMs) {
        RandomGenerator random = new Random(jitterMs);
        ClockOffsetEstimator estimator = new ClockOffsetEstimator();
        double arrivalErrorMs = 0;
        double estimateErrorMs = 0;
        for (int i = 0; i < MESSAGE_COUNT; i++) {
            long sentMs = i * 1_000L;
            long arrivedMs = sentMs + 1 + random.nextInt(jitterMs);
            long estimatedMs = estimator.localSendTimeMs(sentMs + SKEW_MS, arrivedMs);
            arrivalErrorMs += arrivedMs - sentMs;
            estimateErrorMs += Math.abs(estimatedMs - sentMs);
        }
        String errors =
                String.format(
                        "mean error %.1f ms by send time, %.1f ms by arrival time",
                        estimateErrorMs / MESSAGE_COUNT, arrivalErrorMs / MESSAGE_COUNT);
        assertTrue(estimateErrorMs <= arrivalErrorMs / 4, errors);
    }

    /** The estimate follows a permanent increase of the latency. */
    @ParameterizedTest
    @ValueSource(ints = {5, 15})
    void permanentIncreaseIsFollowed(int riseMs) {
        ClockOffsetEstimator estimator = new ClockOffsetEstimator();
        long estimatedMs = 0;
        for (int i = 0; i < 300; i++) {
            long sentMs = i * 1_000L;
            long arrivedMs = sentMs + 1 + (i > 100 ? riseMs : 0);
            estimatedMs = estimator.localSendTimeMs(sentMs + SKEW_MS, arrivedMs) - sentMs;
        }
        assertTrue(
                estimatedMs >= riseMs,
                "estimate is only " + estimatedMs + " ms after the send time");
    }
}
