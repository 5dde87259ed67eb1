package org.amaranthpick.core.route;

import java.util.random.RandomGenerator;

/** Chooses any contiguous chain at random. Baseline. */
public final class RandomChainChooser implements ChainChooser {
    private final ChainWalk mWalk;

    /**
     * Creates a chooser.
     *
     * @param directory engines that may take work
     * @param random source of randomness, thread-safe if the chooser is shared
     */
    public RandomChainChooser(EngineDirectory directory, RandomGenerator random) {
        mWalk = new ChainWalk(directory, random::nextInt);
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        return mWalk.choose(request);
    }
}
