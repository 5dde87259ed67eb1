package org.amaranthpick.core.store;

/**
 * Revisions of a store that may come back from a copy. Such a store gives out revisions again, in a
 * new era. A revision of the client API therefore contains the era: it names one state of the store
 * and is greater than all revisions of earlier eras.
 */
public final class StoreRevision {
    /** Highest era that fits into a revision. */
    public static final long MAX_ERA = (1L << 19) - 1;

    private static final int NUMBER_BITS = 44;
    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    private StoreRevision() {}

    /**
     * Returns the revision for a number that the store has given out.
     *
     * @param era era of the store, 0 to {@link #MAX_ERA}; 0 for a store without eras
     * @param number number that the store has given out in this era
     * @return revision
     */
    public static long of(long era, long number) {
        return (era << NUMBER_BITS) | (number & NUMBER_MASK);
    }

    /**
     * Returns the era of a revision.
     *
     * @param revision revision
     * @return era
     */
    public static long era(long revision) {
        return revision >>> NUMBER_BITS;
    }

    /**
     * Returns the number that the store has given out for a revision.
     *
     * @param revision revision
     * @return number, unique within the era
     */
    public static long number(long revision) {
        return revision & NUMBER_MASK;
    }
}
