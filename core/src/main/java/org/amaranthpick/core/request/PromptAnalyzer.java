package org.amaranthpick.core.request;

import java.util.List;

/** Counts the tokens of a prompt and computes the block hashes that engines use. Thread-safe. */
@FunctionalInterface
public interface PromptAnalyzer {
    /**
     * Analyzes the prompt of a request.
     *
     * @param request request with the prompt
     * @return token count and block hashes
     */
    Analysis analyze(ModelRequest request);

    /**
     * Token count and block hashes of a prompt.
     *
     * @param tokens number of tokens, 0 or more
     * @param prefixHashes chained hash of each full block, in prompt order
     */
    record Analysis(int tokens, List<Long> prefixHashes) {
        /** Copies the list. */
        public Analysis {
            prefixHashes = List.copyOf(prefixHashes);
        }
    }
}
