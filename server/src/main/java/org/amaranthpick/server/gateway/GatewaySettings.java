package org.amaranthpick.server.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of a gateway.
 *
 * @param host name of this host
 * @param domain failure domain of this host
 * @param callerAddress address on which requests are accepted
 * @param readinessAddress address of the readiness endpoint
 * @param metricsAddress address of the metrics endpoint
 * @param peerAddress address on which reports of other daemons are accepted; empty if none are
 *     exchanged
 * @param retryBudgetRatio retries allowed per request, across all daemons
 * @param retryBudgetExtra retries allowed in each window in addition to the ratio, across all
 *     daemons
 * @param retryBudgetWindow length of the window in which retries are counted
 * @param shutdownGrace longest time from the stop signal to the exit of the process
 */
public record GatewaySettings(
        String host,
        String domain,
        URI callerAddress,
        URI readinessAddress,
        URI metricsAddress,
        Optional<URI> peerAddress,
        double retryBudgetRatio,
        double retryBudgetExtra,
        Duration retryBudgetWindow,
        Duration shutdownGrace) {}
