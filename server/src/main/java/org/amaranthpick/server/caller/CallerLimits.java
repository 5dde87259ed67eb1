package org.amaranthpick.server.caller;

import java.time.Duration;

/**
 * Bounds on what one caller may cost before its request is understood.
 *
 * @param maxBodyBytes largest request body
 * @param maxHeaders most header lines in a request
 * @param maxHeaderBytes largest header block
 * @param bodyTimeout time for the whole body to arrive
 * @param maxOpenRequests requests in progress at once on this daemon
 * @param maxBufferedTokens tokens held for a slow reader before its upstream stream is paused
 * @param maxAnswerTokens largest value of {@code max_tokens}
 */
public record CallerLimits(
        int maxBodyBytes,
        int maxHeaders,
        int maxHeaderBytes,
        Duration bodyTimeout,
        int maxOpenRequests,
        int maxBufferedTokens,
        int maxAnswerTokens) {
    /** Bounds used when settings name none. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(1_000_000, 64, 32_768, Duration.ofSeconds(30), 2_000, 64, 8_192);
}
