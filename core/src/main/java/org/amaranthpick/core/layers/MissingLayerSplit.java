package org.amaranthpick.core.layers;

import java.time.Duration;
import org.amaranthpick.core.gateway.EngineModel;

/**
 * Divides missing layers among the empty engines of a failure domain so that the last of them is
 * loaded soonest. Designed for the loss of an engine with many layers under load, when one engine
 * with a large card would load them one after the other while others with free memory stand by.
 */
final class MissingLayerSplit {
    /** Load time below which more engines don't help, as daemons learn of a load about so late. */
    private static final Duration MIN_LOAD_TIME = Duration.ofSeconds(1);

    private final EngineModel mModel;
    private int mEnginesLeft;

    /**
     * Creates a split.
     *
     * @param model parameters of the model
     * @param engines empty engines that have memory for layers
     */
    MissingLayerSplit(EngineModel model, int engines) {
        mModel = model;
        mEnginesLeft = Math.min(engines, model.maxParallelLoads().orElse(engines));
    }

    /**
     * Returns the number of layers for the next engine.
     *
     * @param capacity layers for which it has memory
     * @param holders number of the domain's engines that hold each layer
     * @param from first missing layer
     * @return number of layers from there, at most the capacity
     */
    int next(int capacity, int[] holders, int from) {
        int missing = 0;
        int contiguous = 0;
        for (int layer = from; layer < holders.length; layer++) {
            missing += holders[layer] == 0 ? 1 : 0;
            contiguous += missing == layer - from + 1 ? 1 : 0;
        }
        int engines = Math.max(1, mEnginesLeft);
        mEnginesLeft--;
        int part = (missing + engines - 1) / engines;
        int wanted = engines == 1 ? capacity : Math.max(minPart(), Math.min(part, contiguous));
        return Math.min(capacity, wanted);
    }

    private int minPart() {
        long layerMs = Math.max(1, mModel.loadTime(1, 1).toMillis());
        return (int) ((MIN_LOAD_TIME.toMillis() + layerMs - 1) / layerMs);
    }
}
