package org.amaranthpick.core.gateway;

/**
 * Share of a route's requests that is sent to one service.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route, above 0
 */
public record ServiceShare(String service, int weight) {}
