package org.amaranthpick.core.route;

/** Chooses the chain for one attempt. Thread-safe; never waits. */
@FunctionalInterface
public interface ChainChooser {
    /**
     * Chooses a chain.
     *
     * @param request what the chain is wanted for
     * @return decision
     */
    ChainDecision choose(ChainRequest request);
}
