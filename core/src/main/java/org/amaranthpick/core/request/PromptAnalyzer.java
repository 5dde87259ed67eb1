package org.amaranthpick.core.request;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.ModelVersionSpec;
import org.amaranthpick.core.name.Identity;

/** Counts the tokens of a prompt and hashes its blocks as the engines do. Thread-safe. */
@FunctionalInterface
public interface PromptAnalyzer {
    /**
     * Analyses a prompt.
     *
     * @param model model version that reads it
     * @param adapter adapter applied, if any
     * @param prompt prompt text
     * @return size and block hashes
     */
    Analysis analyze(ModelVersionSpec model, Optional<Identity> adapter, String prompt);

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
