package org.amaranthpick.core.gateway;

/**
 * Share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight weight among the shares of the route, above 0
 */
public record ServiceShare(String service, int weight) {}
