package org.amaranthpick.core.route;

import java.util.function.ToDoubleFunction;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Capacity of an engine for one model version, reduced during slow start and divided among the
 * model versions that the engine holds.
 */
final class EngineCapacity implements ToDoubleFunction<Engine> {
    /** Prompt tokens to be prefilled per generated token. */
    static final double PROMPT_TOKENS_PER_GENERATED_TOKEN = 1.0;

    private final ToDoubleFunction<Identity> mCapacityShare;

    /**
     * Creates a capacity function.
     *
     * @param capacityShare share of an upstream's capacity to use now, 0 to 1; below 1 during slow
     *     start
     */
    EngineCapacity(ToDoubleFunction<Identity> capacityShare) {
        mCapacityShare = capacityShare;
    }

    /**
     * Returns the capacity.
     *
     * @param engine the engine
     * @return generated tokens times layers per second, after the prefill of their prompt tokens
     */
    @Override
    public double applyAsDouble(Engine engine) {
        AcceleratorSpec accelerator = engine.accelerator();
        double secondsPerLayerToken =
                1 / accelerator.decodeLayerTokensPerSecond()
                        + PROMPT_TOKENS_PER_GENERATED_TOKEN
                                / accelerator.prefillLayerTokensPerSecond();
        double total = 1 / secondsPerLayerToken;
        return total * mCapacityShare.applyAsDouble(engine.id()) / heldModelVersions(engine);
    }

    private static long heldModelVersions(Engine engine) {
        long count =
                engine.holdings().stream()
                        .map(UpstreamSpec.Holding::modelVersion)
                        .distinct()
                        .count();
        return Math.max(1, count);
    }
}
