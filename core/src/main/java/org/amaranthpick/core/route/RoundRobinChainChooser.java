package org.amaranthpick.core.route;

import java.util.concurrent.atomic.AtomicInteger;

/** Takes the engines of each step in turn. Baseline. */
public final class RoundRobinChainChooser implements ChainChooser {
    private final AtomicInteger mTurn;
    private final ChainWalk mWalk;

    /**
     * Creates a chooser.
     *
     * @param directory engines that may take work
     * @param firstTurn turn to start with, so that daemons do not go in step
     */
    public RoundRobinChainChooser(EngineDirectory directory, int firstTurn) {
        mTurn = new AtomicInteger(firstTurn);
        mWalk =
                new ChainWalk(
                        directory, count -> Math.floorMod(mTurn.getAndIncrement(), (int) count));
    }

    @Override
    public ChainDecision choose(ChainRequest request) {
        return mWalk.choose(request);
    }
}
