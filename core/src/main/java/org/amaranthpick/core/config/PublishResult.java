package org.amaranthpick.core.config;

/** Result of publishing a manifest. */
public sealed interface PublishResult {
    /**
     * The manifest was accepted as a new generation.
     *
     * @param generation number of the new generation
     * @param digest digest of the content
     * @param chunksWritten number of chunks that had to be written
     */
    record Accepted(long generation, String digest, int chunksWritten) implements PublishResult {}

    /**
     * The manifest equals the stored one; nothing was written.
     *
     * @param generation stored generation
     * @param digest digest of the content
     */
    record Unchanged(long generation, String digest) implements PublishResult {}

    /**
     * The store holds another generation than the expected one, or another writer replaced the root
     * during the publication; the manifest was not accepted.
     *
     * @param present acceptance of the stored generation, with its writer
     */
    record Conflict(ConfigurationRoot.Acceptance present) implements PublishResult {}

    /**
     * A generation was expected but the store holds none; the manifest was not accepted.
     *
     * @param expected expected generation
     */
    record NothingStored(long expected) implements PublishResult {}

    /**
     * A resource exceeds the maximum size of a stored value; the manifest was not accepted.
     *
     * @param message the resource, its size and the maximum
     */
    record TooLarge(String message) implements PublishResult {}

    /**
     * The store could not be reached in time; the manifest was not accepted.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements PublishResult {}

    /**
     * The outcome of the write is unknown; the manifest may have been accepted. If it was,
     * publishing it again returns {@link Unchanged}.
     *
     * @param reason cause of the failure
     */
    record Unsettled(String reason) implements PublishResult {}
}
