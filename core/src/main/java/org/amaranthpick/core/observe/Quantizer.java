package org.amaranthpick.core.observe;

/**
 * Quantizes loads logarithmically to small integers with a bounded relative error, so that digests
 * stay small.
 */
final class Quantizer {
    private static final double STEPS_PER_DOUBLING = 4;

    private Quantizer() {}

    /**
     * Returns the bucket of a value.
     *
     * @param value value, 0 or more
     * @return bucket, 0 for 0
     */
    static int bucket(long value) {
        return (int) Math.round(STEPS_PER_DOUBLING * Math.log(1.0 + value) / Math.log(2));
    }

    /**
     * Returns the representative value of a bucket.
     *
     * @param bucket bucket
     * @return value that differs from every value of the bucket by at most 9% or 1
     */
    static long value(int bucket) {
        return Math.round(Math.pow(2, bucket / STEPS_PER_DOUBLING) - 1);
    }
}
