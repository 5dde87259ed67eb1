package org.amaranthpick.core.member;

import java.time.Instant;

/**
 * Incarnation numbers: the start time of the process in the high bits, a count of refutations in
 * the low bits.
 */
public final class Incarnations {
    private static final int REFUTATION_BITS = 10;

    private Incarnations() {}

    /**
     * Returns the incarnation of a process start.
     *
     * @param start wall-clock time of the start
     * @return first incarnation of the process
     */
    public static long atStart(Instant start) {
        return start.toEpochMilli() << REFUTATION_BITS;
    }

    /**
     * Returns the process start time encoded in an incarnation.
     *
     * @param incarnation incarnation
     * @return milliseconds since the epoch
     */
    public static long startMs(long incarnation) {
        return incarnation >> REFUTATION_BITS;
    }
}
