package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Request that needs a chain, and the constraints on the choice.
 *
 * @param requestId id of the request, for the decision log
 * @param configuration configuration that the request is pinned to
 * @param model model version that the request is pinned to
 * @param adapter adapter that the request uses, if any
 * @param promptTokens number of tokens of the prompt
 * @param emittedTokens number of tokens emitted so far; above 0 when an answer is resumed
 * @param expectedTokens number of tokens that the answer is expected to have from now on
 * @param prefixHashes chained hashes of the complete prompt blocks, in order; see {@link
 *     PrefixHasher}
 * @param excludedUpstreams upstreams that must not be used
 * @param previousChain chain of the previous attempt, whose remaining engines may still hold the KV
 *     cache
 * @param firstTokenBudget time left until the first token is due, if the caller set a deadline
 */
public record ChainRequest(
        String requestId,
        Configuration configuration,
        ModelVersionSpec model,
        Optional<Identity> adapter,
        int promptTokens,
        int emittedTokens,
        int expectedTokens,
        List<Long> prefixHashes,
        Set<Identity> excludedUpstreams,
        Optional<Chain> previousChain,
        Optional<Duration> firstTokenBudget) {
    /** Makes defensive copies of the collections. */
    public ChainRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excludedUpstreams = Set.copyOf(excludedUpstreams);
    }
}
