package org.amaranthpick.core.upstream;

import java.util.Map;

/** Reply to a plain service call. */
public sealed interface ServiceReply {
    /**
     * The service answered, whole.
     *
     * @param status HTTP status
     * @param headers headers passed back
     * @param body body bytes, not copied
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, Map<String, String> headers, byte[] body) implements ServiceReply {}

    /**
     * No byte was sent.
     *
     * @param reason what was seen
     */
    record NotSent(String reason) implements ServiceReply {}

    /**
     * Bytes were sent and no whole answer came; the call may have run.
     *
     * @param reason what was seen
     */
    record Lost(String reason) implements ServiceReply {}
}
