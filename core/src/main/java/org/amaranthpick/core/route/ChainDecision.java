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
     * @param candidates candidates that were compared, the chosen one first
     */
    record Chosen(Chain chain, Duration predictedFirstToken, List<Candidate> candidates)
            implements ChainDecision {}

    /**
     * No chain covers all layers at present.
     *
     * @param reason explanation for the decision log and the caller
     * @param retryAfter time after which a retry may succeed, if known
     */
    record NoChain(String reason, Optional<Duration> retryAfter) implements ChainDecision {}

    /**
     * Candidate that was compared.
     *
     * @param chain the chain
     * @param predictedFirstToken predicted time to the first token
     */
    record Candidate(Chain chain, Duration predictedFirstToken) {}
}
