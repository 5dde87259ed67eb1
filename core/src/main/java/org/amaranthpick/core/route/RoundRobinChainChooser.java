package org.amaranthpick.core.route;

import java.util.concurrent.atomic.AtomicInteger;

/** Baseline that chooses the engine of each hop in turn. */
public final class RoundRobinChainChooser implements ChainChooser {
    private final AtomicInteger mNextIndex;
    private final LayerwiseChainBuilder mBuilder;

    /**
     * Creates a chooser.
     *
     * @param directory engines that accept work
     * @param firstIndex index to start with; daemons with different ones do not choose in lockstep
     */
    public RoundRobinChainChooser(EngineDirectory directory, int firstIndex) {
        mNextIndex = new AtomicInteger(firstIndex);
        mBuilder =
                new LayerwiseChainBuilder(
                        directory,
                        count -> Math.floorMod(mNextIndex.getAndIncrement(), (int) count));
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        return mBuilder.choose(request);
    }
}
