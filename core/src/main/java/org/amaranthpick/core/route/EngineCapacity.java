package org.amaranthpick.core.route;

import java.util.function.ToDoubleFunction;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Capacity of an engine for one model version, as far as it is to be used now. */
final class EngineCapacity implements ToDoubleFunction<Engine> {
    /** Prompt tokens that come with each generated token. */
    static final double PROMPT_TOKENS_PER_TOKEN = 1.0;

    private final ToDoubleFunction<Identity> mShare;

    /**
     * Creates a capacity.
     *
     * @param share part of an upstream's capacity to use now, 0 to 1; below 1 in slow start
     */
    EngineCapacity(ToDoubleFunction<Identity> share) {
        mShare = share;
    }

    /**
     * Returns the capacity.
     *
     * @param engine the engine
     * @return generated tokens times layers per second, the prompt tokens that come with them
     *     accounted for
     */
    @Override
    public double applyAsDouble(Engine engine) {
        AcceleratorSpec accelerator = engine.accelerator();
        double secondsPerLayerToken =
                1 / accelerator.decodeLayerTokensPerSecond()
                        + PROMPT_TOKENS_PER_TOKEN / accelerator.prefillLayerTokensPerSecond();
        double whole = 1 / secondsPerLayerToken;
        return whole * mShare.applyAsDouble(engine.id()) / modelVersions(engine);
    }

    private static long modelVersions(Engine engine) {
        long count =
                engine.holdings().stream()
                        .map(UpstreamSpec.Holding::modelVersion)
                        .distinct()
                        .count();
        return Math.max(1, count);
    }
}
