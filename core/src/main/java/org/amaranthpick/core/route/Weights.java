package org.amaranthpick.core.route;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Draws items by weight. Immutable. */
final class Weights<T> {
    private final List<T> mItems;
    private final double[] mCumulative;

    /**
     * Creates a draw.
     *
     * @param items items
     * @param weight weight of an item, 0 or more
     */
    Weights(List<T> items, ToDoubleFunction<? super T> weight) {
        mItems = items.stream().filter(item -> weight.applyAsDouble(item) > 0).toList();
        mCumulative = new double[mItems.size()];
        double sum = 0;
        for (int i = 0; i < mCumulative.length; i++) {
            sum += weight.applyAsDouble(mItems.get(i));
            mCumulative[i] = sum;
        }
    }

    boolean isEmpty() {
        return mItems.isEmpty();
    }

    List<T> items() {
        return mItems;
    }

    double total() {
        return mCumulative.length == 0 ? 0 : mCumulative[mCumulative.length - 1];
    }

    /**
     * Draws one item.
     *
     * @param random source of randomness
     * @return the item
     */
    T draw(RandomGenerator random) {
        if (mCumulative.length == 1) {
            return mItems.get(0);
        }
        int found = Arrays.binarySearch(mCumulative, random.nextDouble() * total());
        int index = found >= 0 ? found + 1 : -found - 1;
        return mItems.get(Math.min(index, mCumulative.length - 1));
    }
}
