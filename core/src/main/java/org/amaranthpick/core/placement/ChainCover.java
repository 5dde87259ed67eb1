package org.amaranthpick.core.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/** Checks whether layer ranges form a chain. */
final class ChainCover {
    private ChainCover() {}

    /** Returns whether some of the ranges, joined end to end, cover every layer exactly once. */
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

    /** Returns whether every layer is in at least one range. */
    static boolean isCovered(int layers, Collection<LayerRange> ranges) {
        BitSet covered = new BitSet(layers);
        ranges.forEach(range -> covered.set(range.from(), range.to()));
        return covered.nextClearBit(0) >= layers;
    }
}
