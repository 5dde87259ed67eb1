package org.amaranthpick.server.gateway;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.Target;

/**
 * A request that was read completely, with the routing information from the configuration that was
 * in force when it arrived.
 *
 * @param metadata metadata from the request headers
 * @param method HTTP method
 * @param requestTarget path and query as sent by the caller
 * @param headers request headers
 * @param body request body
 * @param route route that the request matched
 * @param service service selected from the route's shares
 * @param workspace workspace of the credential, empty for anonymous requests
 * @param priority priority, 0 is the highest
 * @param configVersion version of the configuration
 * @param digest equal for all repeats of the request, see {@link RequestDigest}
 * @param receivedNs monotonic time at which reading of the body began
 */
@SuppressWarnings("ArrayRecordComponent")
record ForwardedRequest(
        CallerRequestMetadata metadata,
        String method,
        String requestTarget,
        HeaderMap headers,
        byte[] body,
        GatewayRoute route,
        GatewayService service,
        Optional<String> workspace,
        int priority,
        long configVersion,
        String digest,
        long receivedNs) {
    boolean isStream() {
        return route.kind() == RequestKind.STREAM;
    }

    /** Returns what an upstream is told about the request, with the time that it is given. */
    UpstreamRequestMetadata upstreamMetadata(
            Target target, Optional<Duration> timeLeft, OptionalLong lastEventId) {
        return new UpstreamRequestMetadata(target, timeLeft, workspace, priority, lastEventId);
    }

    /** Returns the longest time from receiving the request to its final response. */
    Duration timeLimit() {
        Duration timeout = route.timeout();
        return metadata.deadline()
                .filter(deadline -> deadline.compareTo(timeout) < 0)
                .orElse(timeout);
    }
}
