package org.amaranthpick.core.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;

/**
 * What a chain is wanted for.
 *
 * @param requestId id of the request, for the decision log
 * @param configuration configuration that the request pins
 * @param model model version that the request pins
 * @param adapter adapter that the request pins
 * @param promptTokens tokens of the prompt
 * @param doneTokens tokens emitted so far; above 0 when an answer resumes
 * @param expectedTokens tokens still expected
 * @param prefixHashes hash of each whole prompt block, first block first, chained
 * @param excluded upstreams that must not be used
 * @param previous chain of the last attempt, whose survivors may still hold the KV cache
 * @param budget time left to the first token, if the caller set a deadline
 */
public record ChainRequest(
        String requestId,
        Configuration configuration,
        ModelVersionSpec model,
        Optional<Identity> adapter,
        int promptTokens,
        int doneTokens,
        int expectedTokens,
        List<Long> prefixHashes,
        Set<Identity> excluded,
        Optional<Chain> previous,
        Optional<Duration> budget) {
    /** Copies the collections. */
    public ChainRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excluded = Set.copyOf(excluded);
    }
}
