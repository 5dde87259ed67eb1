package org.amaranthpick.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Route from a host and path prefix to services.
 *
 * @param name name of the route
 * @param host host name in the requests
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind whether and how requests may be retried
 * @param resumable whether another upstream may resume a stream after its last event
 * @param timeout maximum time to answer a request
 * @param targetLatency latency objective of the answer, or of the first event of a stream
 * @param targetGap objective of the time between two events of a stream
 * @param priority priority, 0 is the highest
 * @param shares services that the requests are distributed to, at least one
 * @param maxAttempts maximum number of upstreams that may run one request
 * @param allowAnonymous whether requests without a credential are accepted
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
     * Checks whether a request of this route may run more than once.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean retryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Selects the service of a request at random by the weights of the shares.
     *
     * @param random random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String selectService(double random) {
        int total = shares.stream().mapToInt(ServiceShare::weight).sum();
        double remaining = random * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
