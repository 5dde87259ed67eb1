package org.amaranthpick.core.config;

/** Result of publishing a manifest. */
public sealed interface PublishResult {
    /**
     * The manifest is accepted and will be in force.
     *
     * @param generation generation that it became
     * @param digest digest of the content
     * @param chunksWritten chunks written for it
     */
    record Accepted(long generation, String digest, int chunksWritten) implements PublishResult {}

    /**
     * The manifest equals the accepted one; nothing was written.
     *
     * @param generation present generation
     * @param digest digest of the content
     */
    record Unchanged(long generation, String digest) implements PublishResult {}

    /**
     * Another generation is in place than the one expected or built upon; the manifest is not
     * accepted.
     *
     * @param present acceptance of the present generation and who wrote it
     */
    record Conflict(ConfigurationRoot.Acceptance present) implements PublishResult {}

    /**
     * A generation was expected and the store holds none; the manifest is not accepted.
     *
     * @param expected generation expected
     */
    record NothingStored(long expected) implements PublishResult {}

    /**
     * One resource is over the store's value limit; the manifest is not accepted.
     *
     * @param message resource and limit
     */
    record TooLarge(String message) implements PublishResult {}

    /**
     * The store could not be reached in time; the manifest is not accepted.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements PublishResult {}

    /**
     * The answer was lost and could not be settled in time; the manifest may be accepted. Run the
     * same again: it answers {@link Unchanged} if it was.
     *
     * @param reason what was seen
     */
    record Unsettled(String reason) implements PublishResult {}
}
