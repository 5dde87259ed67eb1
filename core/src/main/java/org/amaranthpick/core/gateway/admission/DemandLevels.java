package org.amaranthpick.core.gateway.admission;

/**
 * Work that this daemon's callers asked for recently, by level of cost. The reserve for the
 * requests whose refusal costs most follows from it: without such demand nothing is kept free, so
 * that no room stays unused once an urgent burst is over.
 */
final class DemandLevels {
    private static final double HALF_LIFE_NS = 5e9;
    private static final double HALF_LIFE_S = HALF_LIFE_NS / 1e9;

    private final double[] mTokens = new double[RefusalCost.LEVELS];
    private long mUpdatedNs;

    void add(int level, double tokens, long nowNs) {
        decay(nowNs);
        mTokens[level] += tokens;
    }

    /** Returns the rate of the demand whose refusal costs more than a level, in tokens a second. */
    double tokensPerSAbove(int level, long nowNs) {
        decay(nowNs);
        double above = 0;
        for (int i = level + 1; i < mTokens.length; i++) {
            above += mTokens[i];
        }
        return above * Math.log(2) / HALF_LIFE_S;
    }

    private void decay(long nowNs) {
        double factor = Math.pow(0.5, (nowNs - mUpdatedNs) / HALF_LIFE_NS);
        for (int i = 0; i < mTokens.length; i++) {
            mTokens[i] *= factor;
        }
        mUpdatedNs = nowNs;
    }
}
