package org.amaranthpick.core.store;

import java.time.Duration;

/** Result of a conditional write or delete. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param version version that the write created, or store revision of the deletion
     */
    record Applied(long version) implements WriteResult {}

    /** The condition was not met; nothing was written. */
    record Conflict() implements WriteResult {}

    /**
     * No answer arrived; the write may or may not have taken effect.
     *
     * @param reason reason of the failure
     */
    record Unknown(String reason) implements WriteResult {}

    /**
     * The store could not be reached; nothing was sent.
     *
     * @param reason reason of the failure
     */
    record Unavailable(String reason) implements WriteResult {}

    /**
     * The call exceeded the permitted rate; nothing was written.
     *
     * @param retryAfter time to wait before the next call
     */
    record Throttled(Duration retryAfter) implements WriteResult {}
}
