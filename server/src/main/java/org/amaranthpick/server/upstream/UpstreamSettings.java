package org.amaranthpick.server.upstream;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.server.http.ConnectorSettings;

/**
 * Bounds of the calls to upstreams.
 *
 * @param connector bounds of the connection pools
 * @param streamSilence longest time without a byte on a token stream; engines send a keep-alive
 *     line more often
 * @param callTimeout longest time for a status, order or cancel call
 * @param serviceTimeout longest time for a call of a plain service
 * @param maxLineBytes longest line of a stream
 * @param maxBodyBytes largest body of any other reply
 * @param orderToken bearer token sent with orders to engines that check who gives them
 */
public record UpstreamSettings(
        ConnectorSettings connector,
        Duration streamSilence,
        Duration callTimeout,
        Duration serviceTimeout,
        int maxLineBytes,
        int maxBodyBytes,
        Optional<String> orderToken) {
    private static final UpstreamSettings DEFAULTS =
            new UpstreamSettings(
                    ConnectorSettings.defaults(),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(30),
                    64 * 1024,
                    4 * 1024 * 1024,
                    Optional.empty());

    /**
     * Returns the settings of a daemon.
     *
     * @return settings
     */
    public static UpstreamSettings defaults() {
        return DEFAULTS;
    }

    /**
     * Returns these settings with a token for orders.
     *
     * @param newToken token, if any engine checks who gives orders
     * @return changed copy
     */
    public UpstreamSettings withOrderToken(Optional<String> newToken) {
        return new UpstreamSettings(
                connector,
                streamSilence,
                callTimeout,
                serviceTimeout,
                maxLineBytes,
                maxBodyBytes,
                newToken);
    }

    @Override
    public String toString() {
        return "UpstreamSettings["
                + connector
                + ", order token "
                + (orderToken.isPresent() ? "set" : "none")
                + "]";
    }
}
