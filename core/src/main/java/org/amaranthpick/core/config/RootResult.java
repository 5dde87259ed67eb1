package org.amaranthpick.core.config;

import java.util.Optional;

/** Result of reading the stored root. */
public sealed interface RootResult {
    /**
     * The store answered.
     *
     * @param root root, empty if nothing was ever published
     * @param version version of the stored object, 0 if there is none
     */
    record Read(Optional<ConfigurationRoot> root, long version) implements RootResult {}

    /**
     * The store did not answer, or its answer is no root.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements RootResult {}
}
