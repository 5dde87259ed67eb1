package org.amaranthpick.core.route;

/**
 * Predicted times of a chain.
 *
 * @param firstTokenNs time to the first token, in nanoseconds
 * @param betweenTokensNs time between tokens, in nanoseconds
 * @param cachedTokens prompt tokens that need not be computed at the first hop
 */
record ChainEstimate(long firstTokenNs, long betweenTokensNs, int cachedTokens) {
    private static final long BETWEEN_TARGET_NS = 0;
    private static final int TOKENS_COUNTED = 64;

    /**
     * Returns the number that chains are compared by: time to the first token, and what tokens
     * above 25 ms lose over the first few.
     *
     * @param expectedTokens tokens still expected
     * @return nanoseconds
     */
    long scoreNs(int expectedTokens) {
        long slowNs = Math.max(0, betweenTokensNs - BETWEEN_TARGET_NS);
        return firstTokenNs + slowNs * Math.min(expectedTokens, TOKENS_COUNTED);
    }
}
