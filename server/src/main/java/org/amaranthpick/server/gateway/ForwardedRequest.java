package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;

/**
 * One request of a caller, read whole, with what the configuration it started under says of it.
 *
 * @param facts what its head says
 * @param method HTTP method
 * @param target path and query as sent
 * @param headers request headers
 * @param body body bytes
 * @param route its route
 * @param service service drawn for it
 * @param workspace workspace of its credential, empty for anonymous requests
 * @param priority rank, 0 first
 * @param configVersion version of the configuration
 * @param readNs monotonic time at which it was read
 */
@SuppressWarnings("ArrayRecordComponent")
record ForwardedRequest(
        CallerFacts facts,
        String method,
        String target,
        HeaderMap headers,
        byte[] body,
        GatewayRoute route,
        GatewayService service,
        Optional<String> workspace,
        int priority,
        long configVersion,
        long readNs) {
    boolean isStream() {
        return route.kind() == RequestKind.STREAM;
    }

    /** Time from reading it to its final answer at the latest. */
    Duration longest() {
        Duration timeout = route.timeout();
        return facts.deadline().filter(d -> d.compareTo(timeout) < 0).orElse(timeout);
    }
}
