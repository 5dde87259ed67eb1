package org.amaranthpick.core.route;

/** Chooses the chain for one attempt. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface ChainChooser {
    /**
     * Chooses a chain.
     *
     * @param request request to serve and the constraints on its chain
     * @return the chosen chain, or the reason why there is none
     */
    ChainDecision choose(ChainRequest request);
}
