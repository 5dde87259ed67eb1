package org.amaranthpick.server.store;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.server.http.ConnectorSettings;

/**
 * Bounds of the calls to the store.
 *
 * @param connector bounds of the connection pool
 * @param callTimeout longest time for a call, watches aside
 * @param watchSilence longest time without a byte on a watch; after it the watch is ended
 * @param maxLineBytes longest line of a watch
 * @param maxListBytes largest answer to a list
 * @param token bearer token, if the store wants one
 */
public record StoreSettings(
        ConnectorSettings connector,
        Duration callTimeout,
        Duration watchSilence,
        int maxLineBytes,
        int maxListBytes,
        Optional<String> token) {
    private static final StoreSettings DEFAULTS =
            new StoreSettings(
                    new ConnectorSettings(16, 256, Duration.ofMillis(500), Duration.ofSeconds(5)),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(3),
                    2 * 1024 * 1024,
                    64 * 1024 * 1024,
                    Optional.empty());

    /**
     * Returns the settings of a daemon.
     *
     * @return settings
     */
    public static StoreSettings defaults() {
        return DEFAULTS;
    }

    /**
     * Returns these settings with a bearer token.
     *
     * @param newToken token, if the store wants one
     * @return changed copy
     */
    public StoreSettings withToken(Optional<String> newToken) {
        return new StoreSettings(
                connector, callTimeout, watchSilence, maxLineBytes, maxListBytes, newToken);
    }

    @Override
    public String toString() {
        return "StoreSettings["
                + connector
                + ", token "
                + (token.isPresent() ? "set" : "none")
                + "]";
    }
}
