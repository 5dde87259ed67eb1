package org.amaranthpick.core.layers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.gateway.EngineModel;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Divides missing layers among the empty engines of a failure domain so that as many as possible
 * are loaded, and the last of them soonest. Designed for the loss of several engines under load:
 * their layers leave gaps of any size, a chain is idle until the last gap is closed, and one engine
 * with a large card would load them one after the other while others with free memory stand by.
 */
final class MissingLayerSplit {
    /** Load time below which more engines don't help, as daemons learn of a load about so late. */
    private static final Duration MIN_LOAD_TIME = Duration.ofSeconds(1);

    private final EngineModel mModel;

    /**
     * Creates a split.
     *
     * @param model parameters of the model
     */
    MissingLayerSplit(EngineModel model) {
        mModel = model;
    }

    /**
     * Selects the layers of each engine. The parts grow until no larger ones cover more.
     *
     * @param capacities layers for which each engine has memory, in descending order
     * @param holders number of the domain's engines that hold each layer
     * @return layers of the first engines; the others are not needed
     */
    List<LayerRange> divide(int[] capacities, int[] holders) {
        int missing = (int) Arrays.stream(holders).filter(count -> count == 0).count();
        List<LayerRange> best = List.of();
        if (missing == 0 || capacities.length == 0) {
            return best;
        }
        int engines = Math.min(capacities.length, mModel.maxParallelLoads().orElse(missing));
        int evenPart = (missing + engines - 1) / Math.max(1, engines);
        int covered = 0;
        for (int part = Math.max(minPart(), evenPart);
                covered < missing && (best.isEmpty() || part <= capacities[0]);
                part++) {
            List<LayerRange> ranges = new ArrayList<>();
            int coveredByPart = cover(capacities, holders, part, ranges);
            if (coveredByPart > covered) {
                covered = coveredByPart;
                best = ranges;
            }
        }
        return best;
    }

    /** Gives each engine the layers of at most one part of which most are missing. */
    private static int cover(int[] capacities, int[] holders, int part, List<LayerRange> ranges) {
        int[] left = holders.clone();
        int covered = 0;
        for (int capacity : capacities) {
            Optional<LayerRange> range = densestRange(left, Math.min(capacity, part));
            if (range.isEmpty()) {
                break;
            }
            for (int layer = range.get().from(); layer < range.get().to(); layer++) {
                covered += left[layer] == 0 ? 1 : 0;
                left[layer]++;
            }
            ranges.add(range.get());
        }
        return covered;
    }

    /** Returns the range with most missing layers, without the held ones at its ends. */
    private static Optional<LayerRange> densestRange(int[] holders, int size) {
        int bestFrom = 0;
        int bestTo = 0;
        int bestMissing = 0;
        for (int from = 0; from < holders.length; from++) {
            if (holders[from] > 0) {
                continue;
            }
            int missing = 0;
            int to = from;
            for (int layer = from; layer < Math.min(from + size, holders.length); layer++) {
                if (holders[layer] == 0) {
                    missing++;
                    to = layer + 1;
                }
            }
            if (missing > bestMissing) {
                bestFrom = from;
                bestTo = to;
                bestMissing = missing;
            }
        }
        return bestMissing == 0 ? Optional.empty() : Optional.of(new LayerRange(bestFrom, bestTo));
    }

    private int minPart() {
        long layerMs = Math.max(1, mModel.loadTime(1, 1).toMillis());
        return (int) ((MIN_LOAD_TIME.toMillis() + layerMs - 1) / layerMs);
    }
}
