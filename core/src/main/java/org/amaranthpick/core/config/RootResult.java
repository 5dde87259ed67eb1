package org.amaranthpick.core.config;

import java.util.Optional;

/** Result of reading the stored root. */
public sealed interface RootResult {
    /**
     * The root was read.
     *
     * @param root root, empty if the store holds none
     * @param version version of the stored object, 0 if there is none
     */
    record Read(Optional<ConfigurationRoot> root, long version) implements RootResult {}

    /**
     * The store did not answer, or the stored root is malformed.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements RootResult {}
}
