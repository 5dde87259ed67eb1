package org.amaranthpick.core.config;

/** Result of loading the accepted configuration from the store. */
public sealed interface LoadResult {
    /**
     * The configuration was loaded.
     *
     * @param configuration accepted configuration
     */
    record Loaded(Configuration configuration) implements LoadResult {}

    /** The store holds no configuration. */
    record NotPublished() implements LoadResult {}

    /**
     * The store did not answer, or the stored configuration is incomplete or malformed.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements LoadResult {}
}
