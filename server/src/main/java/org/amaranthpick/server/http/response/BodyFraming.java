package org.amaranthpick.server.http.response;

/** How the end of a body is found. */
sealed interface BodyFraming {
    /**
     * By the number of its bytes.
     *
     * @param bytes length, 0 for no body
     */
    record Sized(long bytes) implements BodyFraming {}

    /** By its last chunk. */
    record Chunked() implements BodyFraming {}

    /** By the end of the connection. */
    record UntilClose() implements BodyFraming {}
}
