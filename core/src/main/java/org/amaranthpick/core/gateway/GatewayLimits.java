package org.amaranthpick.core.gateway;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxBodyBytes largest body
 * @param headerTimeout longest time for the head of a request
 * @param idleTimeout time for which an idle connection is kept
 */
public record GatewayLimits(long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
