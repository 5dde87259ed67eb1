package org.amaranthpick.server.http.response;

import java.io.IOException;

/** Bytes that are no response of HTTP/1.1. Nothing that they say can be relied on. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    private final ResponseFault mFault;

    /**
     * Creates an exception.
     *
     * @param fault what is malformed
     * @param detail what was seen, without control characters
     */
    MalformedResponseException(ResponseFault fault, String detail) {
        super("malformed response (" + fault.label() + "): " + detail);
        mFault = fault;
    }

    /**
     * Returns what is malformed.
     *
     * @return part of the response
     */
    public ResponseFault fault() {
        return mFault;
    }
}
