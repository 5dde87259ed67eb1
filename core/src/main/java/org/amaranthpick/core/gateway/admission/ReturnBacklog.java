package org.amaranthpick.core.gateway.admission;

import java.time.Duration;

/**
 * Work of refused requests whose callers were told when to return, by level of cost. Spreads their
 * return at the rate at which room becomes free, those whose refusal costs most first. Designed for
 * a burst that is refused within a second: told the same time, its callers would return as a burst.
 */
final class ReturnBacklog {
    private static final double NS_PER_S = 1e9;

    private final double[] mTokens = new double[RefusalCost.LEVELS];
    private long mUpdatedNs;

    /**
     * Adds a request and returns the time by which its caller is to return later than predicted.
     *
     * @param level level of its cost
     * @param tokens its work
     * @param tokensPerS rate at which room becomes free for this daemon
     * @param nowNs monotonic time
     */
    Duration add(int level, double tokens, double tokensPerS, long nowNs) {
        double drained = tokensPerS * (nowNs - mUpdatedNs) / NS_PER_S;
        mUpdatedNs = nowNs;
        double before = 0;
        for (int i = mTokens.length - 1; i >= 0; i--) {
            double taken = Math.min(drained, mTokens[i]);
            mTokens[i] -= taken;
            drained -= taken;
            before += i >= level ? mTokens[i] : 0;
        }
        mTokens[level] += tokens;
        return Duration.ofMillis((long) (before / Math.max(1, tokensPerS) * 1000));
    }
}
