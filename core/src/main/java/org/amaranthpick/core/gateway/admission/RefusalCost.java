package org.amaranthpick.core.gateway.admission;

/**
 * What it costs callers that a request is turned away, for the room that it takes. Designed for
 * chains that are full while callers of several priorities compete: order of arrival gives a burst
 * of a low priority the room of a high one, and order of priority alone gives it to requests that
 * are late already and refuses callers for good that have come back once.
 */
final class RefusalCost {
    /** Factor between two priorities. */
    private static final double PRIORITY_FACTOR = 2;

    /** Part of the value of an answer that it still has when it is late. */
    private static final double LATE_FACTOR = 0.5;

    /**
     * Callers repeat once: a second refusal is final, a first one is not. Less than what being late
     * takes off, so that a caller that returns late doesn't make another one late.
     */
    private static final double RETURNING_FACTOR = 1.3;

    /** Part of the value of an answer that doesn't depend on its length. */
    private static final double FIXED_PART = 0.25;

    private static final int MAX_PRIORITY = 9;

    /** Largest weight that a small request gets for the little room that it takes. */
    private static final double MAX_WORK_FACTOR = 1.5;

    private static final int MAX_LEVEL = 5;

    /** Number of levels that {@link #level} distinguishes. */
    static final int LEVELS = MAX_LEVEL + MAX_PRIORITY + 1;

    private RefusalCost() {}

    /**
     * Computes the cost for each token of room.
     *
     * @param priority priority, 0 is the highest
     * @param onTime whether the request can still be answered on time
     * @param returning whether the caller has been refused before
     * @param relativeWork work relative to that of a usual request
     * @return cost, 1 for a usual fresh request of the highest priority that is on time
     */
    static double of(int priority, boolean onTime, boolean returning, double relativeWork) {
        int level = Math.max(0, Math.min(MAX_PRIORITY, priority));
        double value = Math.pow(PRIORITY_FACTOR, -level);
        double lateness = onTime ? 1 : LATE_FACTOR;
        double repeat = returning ? RETURNING_FACTOR : 1;
        double work = Math.min(MAX_WORK_FACTOR, FIXED_PART / relativeWork + 1 - FIXED_PART);
        return value * lateness * repeat * work;
    }

    /** Returns the level of a cost, one for each factor of two; the highest level costs most. */
    static int level(double cost) {
        int level = (int) Math.round(Math.log(cost) / Math.log(2)) + MAX_PRIORITY + 2;
        return Math.max(0, Math.min(LEVELS - 1, level));
    }
}
