package org.amaranthpick.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Layers of one model version, halved again and again. Engines hold nodes of the tree, so that any
 * two holdings are nested or apart and every covered layer is part of a chain. Cuts follow the
 * ranges held at present, so that these stay nodes where they can.
 */
final class LayerTree {
    static final int ROOT = 0;
    private static final int NONE = -1;

    private final List<LayerRange> mRanges = new ArrayList<>();
    private final List<Integer> mParents = new ArrayList<>();
    private final List<Integer> mLeft = new ArrayList<>();
    private final List<Integer> mRight = new ArrayList<>();
    private final Map<LayerRange, Integer> mByRange = new HashMap<>();

    /**
     * Builds the tree.
     *
     * @param layers layers of the model version
     * @param held ranges held at present, one entry per engine
     */
    LayerTree(int layers, Collection<LayerRange> held) {
        Map<LayerRange, Integer> counts = new HashMap<>();
        held.stream()
                .filter(range -> range.to() <= layers)
                .forEach(range -> counts.merge(range, 1, Integer::sum));
        build(new LayerRange(0, layers), NONE, counts);
    }

    private int build(LayerRange range, int parent, Map<LayerRange, Integer> counts) {
        int node = mRanges.size();
        mRanges.add(range);
        mParents.add(parent);
        mLeft.add(NONE);
        mRight.add(NONE);
        mByRange.put(range, node);
        if (range.size() > 1) {
            int cut = chooseCut(range, counts);
            mLeft.set(node, build(new LayerRange(range.from(), cut), node, counts));
            mRight.set(node, build(new LayerRange(cut, range.to()), node, counts));
        }
        return node;
    }

    private static int chooseCut(LayerRange range, Map<LayerRange, Integer> counts) {
        int[] bounds = new int[range.size() + 1];
        int[] crossing = new int[range.size() + 1];
        counts.forEach((held, count) -> tally(range, held, count, bounds, crossing));
        int best = range.size() / 2;
        Comparator<Integer> order =
                Comparator.<Integer, Boolean>comparing(at -> crossing[at] > 0 || bounds[at] == 0)
                        .thenComparing(at -> crossing[at] - bounds[at])
                        .thenComparing(at -> Math.abs(2 * at - range.size()));
        for (int at = 1; at < range.size(); at++) {
            if (order.compare(at, best) < 0) {
                best = at;
            }
        }
        return range.from() + best;
    }

    private static void tally(
            LayerRange range, LayerRange held, int count, int[] bounds, int[] crossing) {
        if (!range.contains(held) || held.equals(range)) {
            return;
        }
        bounds[held.from() - range.from()] += count;
        bounds[held.to() - range.from()] += count;
        for (int at = held.from() + 1; at < held.to(); at++) {
            crossing[at - range.from()] += count;
        }
    }

    int size() {
        return mRanges.size();
    }

    LayerRange range(int node) {
        return mRanges.get(node);
    }

    int layers(int node) {
        return mRanges.get(node).size();
    }

    int parent(int node) {
        return mParents.get(node);
    }

    int left(int node) {
        return mLeft.get(node);
    }

    int right(int node) {
        return mRight.get(node);
    }

    boolean isLeaf(int node) {
        return mLeft.get(node) == NONE;
    }

    OptionalInt node(LayerRange range) {
        Integer node = mByRange.get(range);
        return node == null ? OptionalInt.empty() : OptionalInt.of(node);
    }
}
