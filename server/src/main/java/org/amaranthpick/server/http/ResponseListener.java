package org.amaranthpick.server.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Told of one outgoing call, on one I/O thread. Must not block. */
public interface ResponseListener {
    /** The first byte of the request may leave this host from now on. Told once at most. */
    default void onSending() {}

    /**
     * The head of the response came.
     *
     * @param status HTTP status
     * @param headers response headers
     */
    void onResponse(int status, HeaderMap headers);

    /**
     * Bytes of the response body came.
     *
     * @param bytes the bytes, valid during the call only
     */
    void onBytes(ByteBuffer bytes);

    /**
     * Checks whether the listener takes further bytes of the body. If not, the call ends as lost
     * and its connection is closed, since the bytes may come without end.
     *
     * @return true to go on
     */
    default boolean acceptsMore() {
        return true;
    }

    /**
     * Checks, after a whole response, whether its connection may carry another call. If the
     * receiver may write a response twice, the next call would get the second one.
     *
     * @return true to keep the connection
     */
    default boolean keepsConnection() {
        return true;
    }

    /**
     * The call ended; nothing is told after it.
     *
     * @param end how it ended
     */
    void onEnd(CallEnd end);
}
