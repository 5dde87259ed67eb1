package org.amaranthpick.core.request;

import java.time.Duration;

/**
 * Timeouts and limits of the request path.
 *
 * @param tokenTimeout longest time between two tokens before a stage counts as lost
 * @param firstTokenGrace time allowed for the first token in addition to the scaled prediction
 * @param predictionFactor factor applied to the predicted time to the first token
 * @param shortTimeoutMinPriority lowest priority with unscaled timeouts
 * @param longTimeoutFactor factor applied to the timeouts of requests that have a lower priority or
 *     are not idempotent
 * @param maxCallerPause longest pause of a caller before its request ends
 * @param maxBufferedTokens maximum number of tokens buffered for a paused caller or after a missing
 *     token
 * @param serviceTimeout timeout of one attempt of a service call
 * @param maxStoredAnswerBytes longest answer stored for repeats of an idempotency key
 * @param maxCapacityWait longest time that a partially emitted answer waits for a chain
 * @param capacityRecheckInterval time between two searches for a chain
 * @param defaultRetryAfter retry delay sent to callers if no better value is known
 */
public record RequestSettings(
        Duration tokenTimeout,
        Duration firstTokenGrace,
        int predictionFactor,
        int shortTimeoutMinPriority,
        int longTimeoutFactor,
        Duration maxCallerPause,
        int maxBufferedTokens,
        Duration serviceTimeout,
        int maxStoredAnswerBytes,
        Duration maxCapacityWait,
        Duration capacityRecheckInterval,
        Duration defaultRetryAfter) {

    /**
     * Returns the settings for engines with 25 ms between tokens and 0.92 s to the first token.
     *
     * @return default settings
     */
    public static RequestSettings defaults() {
        return new RequestSettings(
                Duration.ofMillis(1500),
                Duration.ofMillis(1500),
                2,
                5,
                4,
                Duration.ofSeconds(60),
                1024,
                Duration.ofSeconds(30),
                2048,
                Duration.ofSeconds(20),
                Duration.ofMillis(100),
                Duration.ofSeconds(1));
    }
}
