package org.amaranthpick.core.route;

/**
 * Predicted latencies of a chain.
 *
 * @param firstTokenNs time to the first token, in nanoseconds
 * @param tokenIntervalNs time between two tokens, in nanoseconds
 * @param cachedTokens prompt tokens that the first hop has in its KV cache
 */
record ChainEstimate(long firstTokenNs, long tokenIntervalNs, int cachedTokens) {
    private static final long TOKEN_INTERVAL_TARGET_NS = 0;
    private static final int MAX_SCORED_TOKENS = 64;

    /**
     * Returns the score that chains are compared by, lower is better: the time to the first token
     * plus the time by which the following tokens exceed the target interval. At most 64 of them
     * are counted.
     *
     * @param expectedTokens tokens that the answer is expected to have from now on
     * @return score in nanoseconds
     */
    long scoreNs(int expectedTokens) {
        long excessNs = Math.max(0, tokenIntervalNs - TOKEN_INTERVAL_TARGET_NS);
        return firstTokenNs + excessNs * Math.min(expectedTokens, MAX_SCORED_TOKENS);
    }
}
