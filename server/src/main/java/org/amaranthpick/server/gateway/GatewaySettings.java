package org.amaranthpick.server.gateway;

import java.net.URI;
import java.time.Duration;

/**
 * Settings of a gateway.
 *
 * @param host name of this host
 * @param domain failure domain it stands in
 * @param callers address that callers are taken on
 * @param readiness address that readiness is told on
 * @param metrics address that metrics are told on
 * @param retryRatio repeats for each request, over all daemons
 * @param retryExtra repeats beside those in a window, over all daemons
 * @param retryWindow window in which repeats are counted
 * @param shutdownGrace time from the signal to stop to the end of the process at the latest
 */
public record GatewaySettings(
        String host,
        String domain,
        URI callers,
        URI readiness,
        URI metrics,
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        Duration shutdownGrace) {}
