package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.gateway.Target;

/**
 * Values passed to an upstream along with a request.
 *
 * @param target upstream and engine chain
 * @param remainingTime time until the caller's deadline, empty if the caller specified none
 * @param workspace workspace of the caller, empty for anonymous requests
 * @param priority priority, 0 is the highest
 * @param lastEventId id of the event after which the stream resumes, empty to start from the
 *     beginning
 */
public record UpstreamRequestMetadata(
        Target target,
        Optional<Duration> remainingTime,
        Optional<String> workspace,
        int priority,
        OptionalLong lastEventId) {}
