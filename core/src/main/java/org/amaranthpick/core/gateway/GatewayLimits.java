package org.amaranthpick.core.gateway;

import java.time.Duration;

/**
 * Limits on callers' requests and connections.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout maximum time to receive the head of a request
 * @param idleTimeout time after which an idle connection is closed
 */
public record GatewayLimits(long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
