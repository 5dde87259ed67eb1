package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Decision of a {@link ChainChooser}. */
public sealed interface ChainDecision {
    /**
     * A chain was chosen.
     *
     * @param chain the chain
     * @param predictedFirstToken predicted time to the first token
     * @param considered candidates with predicted cost, the chosen one first
     */
    record Chosen(Chain chain, Duration predictedFirstToken, List<Candidate> considered)
            implements ChainDecision {}

    /**
     * No chain runs all layers at present.
     *
     * @param reason what is missing
     * @param retryAfter when a chain may be expected, if known
     */
    record NoChain(String reason, Optional<Duration> retryAfter) implements ChainDecision {}

    /**
     * Candidate looked at.
     *
     * @param chain the chain
     * @param predictedFirstToken predicted time to the first token
     */
    record Candidate(Chain chain, Duration predictedFirstToken) {}
}
