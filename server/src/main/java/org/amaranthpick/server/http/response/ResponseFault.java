package org.amaranthpick.server.http.response;

import java.util.Locale;

/** Part of a response that is malformed. */
public enum ResponseFault {
    /** The first line is no status line of HTTP/1. */
    STATUS_LINE,

    /** A line of the head or of the trailers is no field. */
    FIELD,

    /** The length of the body is no number, or there are several. */
    LENGTH,

    /**
     * The body has a transfer coding other than a single {@code chunked}, or one beside a length.
     */
    TRANSFER_CODING,

    /** The body is not a sequence of chunks. */
    CHUNK;

    /**
     * Returns the value of this fault as a label of metrics and in logs.
     *
     * @return lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
