package org.amaranthpick.core.route;

import java.util.random.RandomGenerator;

/** Baseline that chooses contiguous chains at random. */
public final class RandomChainChooser implements ChainChooser {
    private final LayerwiseChainBuilder mBuilder;

    /**
     * Creates a chooser.
     *
     * @param directory engines that accept work
     * @param random source of randomness, thread-safe if the chooser is shared
     */
    public RandomChainChooser(EngineDirectory directory, RandomGenerator random) {
        mBuilder = new LayerwiseChainBuilder(directory, random::nextInt);
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        return mBuilder.choose(request);
    }
}
