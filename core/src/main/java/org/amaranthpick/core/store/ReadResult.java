package org.amaranthpick.core.store;

import java.time.Duration;

/** Result of a read. */
public sealed interface ReadResult {
    /**
     * The object exists.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements ReadResult {}

    /** The object does not exist. */
    record Missing() implements ReadResult {}

    /**
     * The store did not answer or answered with a failure.
     *
     * @param reason reason of the failure
     */
    record Unavailable(String reason) implements ReadResult {}

    /**
     * The call exceeded the permitted rate.
     *
     * @param retryAfter time to wait before the next call
     */
    record Throttled(Duration retryAfter) implements ReadResult {}
}
