package org.amaranthpick.core.reach;

import java.util.Objects;

/**
 * Answer to a {@link RelayRequest}.
 *
 * @param status what came of it
 * @param path name under which one request may be sent over the connection, empty string if none
 */
public record RelayReply(Status status, String path) {
    /** Outcome at the daemon that was asked. */
    public enum Status {
        /** The connection to the upstream is open. */
        OPENED,
        /** The daemon reaches other upstreams, but not this one. */
        UNREACHABLE,
        /** The daemon does not reach upstreams itself, or cannot tell. */
        PARTITIONED,
        /** The daemon relays as many requests as it takes. */
        FULL,
        /** The daemon is shutting down. */
        LEAVING,
        /** The upstream is not in the daemon's register, is leaving, or takes no request now. */
        UNAVAILABLE
    }

    /** Refuses incomplete replies, as they may come from elsewhere. */
    public RelayReply {
        Objects.requireNonNull(status, "a reply must have a status");
        path = path == null ? "" : path;
    }

    /**
     * Creates a reply without a connection.
     *
     * @param status what came of the request
     * @return reply
     */
    public static RelayReply refused(Status status) {
        return new RelayReply(status, "");
    }
}
