package org.amaranthpick.server.http;

import java.time.Duration;

/**
 * Bounds of the connection pools.
 *
 * @param maxConnections connections to one receiver at most, 1 or more
 * @param maxWaiting calls that wait for a connection to one receiver at most
 * @param connectTimeout longest time to get a connection
 * @param idleTimeout a connection idle for longer is closed and never used again
 */
public record ConnectorSettings(
        int maxConnections, int maxWaiting, Duration connectTimeout, Duration idleTimeout) {
    private static final ConnectorSettings DEFAULTS =
            new ConnectorSettings(256, 256, Duration.ofMillis(500), Duration.ofSeconds(5));

    /**
     * Returns the settings of a daemon.
     *
     * @return settings
     */
    public static ConnectorSettings defaults() {
        return DEFAULTS;
    }
}
