package org.amaranthpick.server.http;

/** How an outgoing call ended. */
public sealed interface CallEnd {
    /** The whole response was read. */
    record Complete() implements CallEnd {}

    /**
     * No byte of the request left this host.
     *
     * @param reason what was seen
     */
    record NotSent(String reason) implements CallEnd {}

    /**
     * Bytes of the request left and the response is not whole.
     *
     * @param reason what was seen
     */
    record Lost(String reason) implements CallEnd {}
}
