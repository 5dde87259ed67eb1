package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Extends the range of an engine that holds far fewer layers than it has memory for, as after a
 * loss whose layers were divided among many engines. Nothing that it holds is given up.
 */
final class RangeGrowth {
    private RangeGrowth() {}

    /**
     * Checks whether an engine got only a part of the layers that fit into its memory. The last
     * layers of a copy are not extended, since the engines before them limit their chains.
     *
     * @param held layers that it holds
     * @param capacity layers for which it has memory
     * @param layers layers of the model
     * @return whether at least as many again fit
     */
    static boolean isPartial(LayerRange held, int capacity, int layers) {
        return 2 * held.size() <= capacity && held.to() < layers;
    }

    /**
     * Selects the layers to hold.
     *
     * @param held layers that the engine holds
     * @param capacity layers for which it has memory, at most those of the model
     * @param holders number of engines that hold each layer
     * @return range that includes the held one and those next to it with the fewest holders
     */
    static LayerRange extend(LayerRange held, int capacity, int[] holders) {
        int best = held.from();
        long fewest = Long.MAX_VALUE;
        int last = Math.min(held.from(), holders.length - capacity);
        for (int from = Math.max(0, held.to() - capacity); from <= last; from++) {
            long sum = 0;
            for (int layer = from; layer < from + capacity; layer++) {
                sum += holders[layer];
            }
            if (sum < fewest) {
                fewest = sum;
                best = from;
            }
        }
        return new LayerRange(best, best + capacity);
    }
}
