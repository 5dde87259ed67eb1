package org.amaranthpick.core.upstream;

import java.util.Map;

/** Result of a service call. */
public sealed interface ServiceReply {
    /**
     * The complete answer of the service was received.
     *
     * @param status HTTP status
     * @param headers headers to return to the caller
     * @param body body; the array is not copied
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, Map<String, String> headers, byte[] body) implements ServiceReply {}

    /**
     * No byte of the call was sent.
     *
     * @param reason observed failure
     */
    record NotSent(String reason) implements ServiceReply {}

    /**
     * Bytes were sent and no complete answer was received; the call may have run.
     *
     * @param reason observed failure
     */
    record Lost(String reason) implements ServiceReply {}
}
