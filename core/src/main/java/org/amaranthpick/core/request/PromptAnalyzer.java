package org.amaranthpick.core.request;

import java.util.List;

/** Counts the tokens of a prompt and hashes its blocks as the engines do. Thread-safe. */
@FunctionalInterface
public interface PromptAnalyzer {
    /**
     * Analyses a prompt.
     *
     * @param request request whose prompt it is
     * @return size and block hashes
     */
    Analysis analyze(CallerRequest request);

    /**
     * Size and block hashes of a prompt.
     *
     * @param tokens tokens, 0 or more
     * @param prefixHashes hash of each whole block, first block first, chained
     */
    record Analysis(int tokens, List<Long> prefixHashes) {
        /** Copies the list. */
        public Analysis {
            prefixHashes = List.copyOf(prefixHashes);
        }
    }
}
