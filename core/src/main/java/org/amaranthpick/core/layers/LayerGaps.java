package org.amaranthpick.core.layers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/** Ranges of layers that no engine holds. */
public final class LayerGaps {
    private LayerGaps() {}

    /**
     * Finds the layers that none of the engines holds.
     *
     * @param engines the engines
     * @param layers number of layers of the model
     * @return ranges in ascending order
     */
    public static List<LayerRange> find(Collection<UpstreamEntry> engines, int layers) {
        int[] holders = new int[layers];
        for (UpstreamEntry engine : engines) {
            Optional<LayerRange> held = engine.layers().filter(range -> range.to() <= layers);
            for (int layer = held.map(LayerRange::from).orElse(0);
                    layer < held.map(LayerRange::to).orElse(0);
                    layer++) {
                holders[layer]++;
            }
        }
        return find(holders);
    }

    /**
     * Finds the layers without a holder.
     *
     * @param holders number of engines that hold each layer
     * @return ranges in ascending order
     */
    static List<LayerRange> find(int[] holders) {
        List<LayerRange> gaps = new ArrayList<>();
        int from = 0;
        while (from < holders.length) {
            int to = from;
            while (to < holders.length && holders[to] == 0) {
                to++;
            }
            if (to > from) {
                gaps.add(new LayerRange(from, to));
            }
            from = to + 1;
        }
        return gaps;
    }

    /**
     * Describes ranges for a log line.
     *
     * @param gaps the ranges
     * @return ranges separated by commas, "none" if there are none
     */
    public static String describe(List<LayerRange> gaps) {
        return gaps.isEmpty()
                ? "none"
                : gaps.stream().map(LayerRange::toString).collect(Collectors.joining(","));
    }
}
