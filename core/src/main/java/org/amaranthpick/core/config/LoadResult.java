package org.amaranthpick.core.config;

/** Result of loading the accepted configuration from the store. */
public sealed interface LoadResult {
    /**
     * The configuration was loaded.
     *
     * @param configuration accepted configuration
     */
    record Loaded(Configuration configuration) implements LoadResult {}

    /** Nothing was ever published. */
    record Nothing() implements LoadResult {}

    /**
     * The store did not answer or a chunk lacks.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements LoadResult {}
}
