package org.amaranthpick.core.route;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Samples items with a probability proportional to their weight. Immutable. */
final class WeightedSampler<T> {
    private final List<T> mItems;
    private final double[] mCumulativeWeights;

    /**
     * Creates a sampler; items of weight 0 are left out.
     *
     * @param items items to sample from
     * @param weight weight of an item, 0 or more
     */
    WeightedSampler(List<T> items, ToDoubleFunction<? super T> weight) {
        mItems = items.stream().filter(item -> weight.applyAsDouble(item) > 0).toList();
        mCumulativeWeights = new double[mItems.size()];
        double sum = 0;
        for (int i = 0; i < mCumulativeWeights.length; i++) {
            sum += weight.applyAsDouble(mItems.get(i));
            mCumulativeWeights[i] = sum;
        }
    }

    boolean isEmpty() {
        return mItems.isEmpty();
    }

    List<T> items() {
        return mItems;
    }

    double totalWeight() {
        return mCumulativeWeights.length == 0
                ? 0
                : mCumulativeWeights[mCumulativeWeights.length - 1];
    }

    /**
     * Samples one item.
     *
     * @param random source of randomness
     * @return sampled item
     */
    T sample(RandomGenerator random) {
        if (mCumulativeWeights.length == 1) {
            return mItems.get(0);
        }
        int found = Arrays.binarySearch(mCumulativeWeights, random.nextDouble() * totalWeight());
        int index = found >= 0 ? found + 1 : -found - 1;
        return mItems.get(Math.min(index, mCumulativeWeights.length - 1));
    }
}
