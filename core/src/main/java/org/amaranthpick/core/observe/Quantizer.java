package org.amaranthpick.core.observe;

/** Maps loads to small integers with a bounded relative error, so that digests stay short. */
final class Quantizer {
    private static final double STEPS_PER_DOUBLING = 4;

    private Quantizer() {}

    /**
     * Quantises a value.
     *
     * @param value value, 0 or more
     * @return bucket, 0 for 0
     */
    static int bucket(long value) {
        return (int) Math.round(STEPS_PER_DOUBLING * Math.log(1.0 + value) / Math.log(2));
    }

    /**
     * Returns the middle of a bucket.
     *
     * @param bucket bucket
     * @return value within 9% of every value of the bucket, or within 1
     */
    static long value(int bucket) {
        return Math.round(Math.pow(2, bucket / STEPS_PER_DOUBLING) - 1);
    }
}
