package org.amaranthpick.core.store;

import java.time.Duration;

/** Result of a conditional write or delete. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param version version that it made
     */
    record Applied(long version) implements WriteResult {}

    /** The condition did not hold; nothing was written. */
    record Conflict() implements WriteResult {}

    /**
     * The answer was lost; the write may or may not have taken effect.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements WriteResult {}

    /**
     * The store could not be reached; nothing was sent.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements WriteResult {}

    /**
     * The call was over the rate; nothing was written.
     *
     * @param retryAfter time to wait before the next call
     */
    record Throttled(Duration retryAfter) implements WriteResult {}
}
