package org.amaranthpick.core.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/** Tells whether layer ranges make up a chain. */
final class ChainCover {
    private ChainCover() {}

    /** Tells whether whole ranges, one after the other, run every layer once. */
    static boolean isChain(int layers, Collection<LayerRange> ranges) {
        BitSet reached = new BitSet(layers + 1);
        reached.set(0);
        List<LayerRange> sorted = ranges.stream().sorted().toList();
        for (LayerRange range : sorted) {
            if (reached.get(range.from())) {
                reached.set(range.to());
            }
        }
        return reached.get(layers);
    }

    /** Tells whether every layer is in some range. */
    static boolean isCovered(int layers, Collection<LayerRange> ranges) {
        BitSet covered = new BitSet(layers);
        ranges.forEach(range -> covered.set(range.from(), range.to()));
        return covered.nextClearBit(0) >= layers;
    }
}
