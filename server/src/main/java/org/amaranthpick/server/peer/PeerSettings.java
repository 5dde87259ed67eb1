package org.amaranthpick.server.peer;

import java.time.Duration;

/**
 * Bounds of the links between daemons.
 *
 * @param connectTimeout longest time to open and authenticate a connection, on both sides
 * @param maxStrangers connections not yet authenticated at most; the oldest make room
 * @param pingAfter a connection in use whose last answer is older than this is pinged
 * @param pingTimeout a connection that leaves a ping unanswered for this long is replaced
 * @param idleTimeout a connection on which nothing was sent for this long is closed
 * @param backoffMin shortest wait after a fresh connection failed
 * @param backoffMax longest wait after fresh connections failed
 * @param maxQueuedFrames frames waiting for one peer at most; the oldest are dropped
 * @param maxQueuedBytes bytes waiting for one peer at most; the oldest are dropped
 * @param maxFrameBytes largest frame of an authenticated peer
 */
public record PeerSettings(
        Duration connectTimeout,
        int maxStrangers,
        Duration pingAfter,
        Duration pingTimeout,
        Duration idleTimeout,
        Duration backoffMin,
        Duration backoffMax,
        int maxQueuedFrames,
        int maxQueuedBytes,
        int maxFrameBytes) {
    private static final PeerSettings DEFAULTS =
            new PeerSettings(
                    Duration.ofSeconds(1),
                    512,
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(2),
                    1024,
                    8 * 1024 * 1024,
                    4 * 1024 * 1024);

    /**
     * Returns the settings of a daemon.
     *
     * @return settings
     */
    public static PeerSettings defaults() {
        return DEFAULTS;
    }
}
