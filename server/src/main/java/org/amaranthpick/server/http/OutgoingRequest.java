package org.amaranthpick.server.http;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * One outgoing HTTP request.
 *
 * @param address scheme, IP number and port of the receiver
 * @param method HTTP method
 * @param path path with its query, starting with a slash
 * @param headers headers beside Content-Length; Host is the receiver's address unless given
 * @param body body bytes, not copied; empty for none
 * @param silence longest time without a byte from the receiver while reading is not paused
 * @param total longest time for the whole call, if bounded
 */
@SuppressWarnings("ArrayRecordComponent")
public record OutgoingRequest(
        URI address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration silence,
        Optional<Duration> total) {
    /** Copies the headers. */
    public OutgoingRequest {
        headers = Map.copyOf(headers);
    }
}
