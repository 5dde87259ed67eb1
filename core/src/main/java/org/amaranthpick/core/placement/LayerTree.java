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
 * Binary tree of the layer ranges of one model version; the children of a node split its range.
 * Engines hold nodes of the tree, so that any two holdings are nested or disjoint and every covered
 * layer is part of a chain. Where possible, cuts follow the ranges held at present, so that these
 * remain nodes.
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

    /**
     * Chooses where to split a range: preferably at a boundary of held ranges that no held range
     * crosses, then where boundaries outnumber crossings most, then near the middle.
     */
    private static int chooseCut(LayerRange range, Map<LayerRange, Integer> counts) {
        int[] boundaryCounts = new int[range.size() + 1];
        int[] crossingCounts = new int[range.size() + 1];
        counts.forEach(
                (held, count) ->
                        countHeldRange(range, held, count, boundaryCounts, crossingCounts));
        int bestOffset = range.size() / 2;
        Comparator<Integer> byPreference =
                Comparator.<Integer, Boolean>comparing(
                                offset -> crossingCounts[offset] > 0 || boundaryCounts[offset] == 0)
                        .thenComparing(offset -> crossingCounts[offset] - boundaryCounts[offset])
                        .thenComparing(offset -> Math.abs(2 * offset - range.size()));
        for (int offset = 1; offset < range.size(); offset++) {
            if (byPreference.compare(offset, bestOffset) < 0) {
                bestOffset = offset;
            }
        }
        return range.from() + bestOffset;
    }

    private static void countHeldRange(
            LayerRange range,
            LayerRange held,
            int count,
            int[] boundaryCounts,
            int[] crossingCounts) {
        if (!range.contains(held) || held.equals(range)) {
            return;
        }
        boundaryCounts[held.from() - range.from()] += count;
        boundaryCounts[held.to() - range.from()] += count;
        for (int offset = held.from() + 1; offset < held.to(); offset++) {
            crossingCounts[offset - range.from()] += count;
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

    OptionalInt findNode(LayerRange range) {
        Integer node = mByRange.get(range);
        return node == null ? OptionalInt.empty() : OptionalInt.of(node);
    }
}
