package org.amaranthpick.core.reach;

import java.util.Objects;

/**
 * Asks another daemon to open a connection to an upstream.
 *
 * @param upstreamId id of the upstream in the register
 * @param check whether the answer is all that is wanted; the connection is then closed at once
 */
public record RelayRequest(String upstreamId, boolean check) {
    /** Refuses incomplete requests, as they may come from elsewhere. */
    public RelayRequest {
        Objects.requireNonNull(upstreamId, "a request must name its upstream");
    }
}
