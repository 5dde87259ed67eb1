package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One route.
 *
 * @param name name of the route
 * @param host host that requests are addressed to
 * @param pathPrefix start of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another upstream after its last event
 * @param timeout longest time that a request may be kept waiting
 * @param targetLatency time within which an answer is on time; the first event for streams
 * @param targetGap longest pause between the events of a stream that is on time
 * @param priority rank, 0 first
 * @param shares services that the requests go to, at least one
 * @param maxAttempts upstreams that may run one request
 * @param allowAnonymous whether requests need no credential
 */
public record GatewayRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        Duration timeout,
        Duration targetLatency,
        Optional<Duration> targetGap,
        int priority,
        List<ServiceShare> shares,
        int maxAttempts,
        boolean allowAnonymous) {
    /** Copies the shares. */
    public GatewayRoute {
        shares = List.copyOf(shares);
    }

    /**
     * Tells whether a request of this route may run a second time.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Picks the service of one request by the weights of the shares.
     *
     * @param random number from 0 to below 1
     * @return name of the service
     */
    public String service(double random) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        double left = random * total;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
