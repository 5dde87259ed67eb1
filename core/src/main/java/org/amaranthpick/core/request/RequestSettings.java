package org.amaranthpick.core.request;

import java.time.Duration;

/**
 * Timeouts and bounds of the request path.
 *
 * @param tokenSilence silence between two tokens after which a stage counts as lost
 * @param firstTokenGrace time to the first token allowed beyond the predicted one
 * @param predictionFactor the predicted time to the first token is multiplied by this
 * @param promptPriority priority from which a silent stage is replaced promptly
 * @param patienceFactor silences are multiplied by this below that priority, and where no other
 *     attempt is allowed
 * @param stallLimit longest pause of a caller before its request is given up
 * @param maxBufferedTokens tokens held for a paused caller or ahead of a missing one
 * @param serviceTimeout time for one service call without a deadline
 * @param maxKeptAnswerBytes longest answer kept for repeats of an idempotency key
 * @param capacityPatience longest time that an answer half given waits for a chain
 * @param capacityRecheck time between two looks for a chain
 * @param retryAfter time told to callers where nothing better is known
 */
public record RequestSettings(
        Duration tokenSilence,
        Duration firstTokenGrace,
        int predictionFactor,
        int promptPriority,
        int patienceFactor,
        Duration stallLimit,
        int maxBufferedTokens,
        Duration serviceTimeout,
        int maxKeptAnswerBytes,
        Duration capacityPatience,
        Duration capacityRecheck,
        Duration retryAfter) {

    /**
     * Returns the settings for 25 ms between tokens and 0.92 s to the first one.
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
