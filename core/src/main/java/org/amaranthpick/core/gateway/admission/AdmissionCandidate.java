package org.amaranthpick.core.gateway.admission;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;

/**
 * Request of a model that is to be sent for the first time.
 *
 * @param service service of the request, as configured when it arrived
 * @param route route that the request matched
 * @param priority priority, 0 is the highest
 * @param workspace workspace of the caller, empty for anonymous requests
 * @param work work that the request needs
 * @param bodyBytes size of the body, which is kept in memory while the request waits
 * @param receivedNs monotonic time at which the request arrived
 * @param timeLimit longest time from its arrival to its final response
 */
public record AdmissionCandidate(
        GatewayService service,
        GatewayRoute route,
        int priority,
        Optional<String> workspace,
        RequestWork work,
        int bodyBytes,
        long receivedNs,
        Duration timeLimit) {
    private static final Duration MIN_STREAM_PATIENCE = Duration.ofSeconds(2);
    private static final int LATENCIES_OF_PATIENCE = 4;
    private static final int GAPS_OF_PATIENCE = 8;

    /**
     * Returns the time after which the caller leaves if nothing of its answer has arrived.
     *
     * @return time since the arrival
     */
    Duration patience() {
        if (route.kind() != RequestKind.STREAM) {
            return timeLimit;
        }
        Duration byLatency = route.targetLatency().multipliedBy(LATENCIES_OF_PATIENCE);
        Duration byGap = route.targetGap().orElse(Duration.ZERO).multipliedBy(GAPS_OF_PATIENCE);
        return min(timeLimit, max(MIN_STREAM_PATIENCE, max(byLatency, byGap)));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
