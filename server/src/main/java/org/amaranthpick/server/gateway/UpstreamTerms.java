package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.gateway.Target;

/**
 * What an upstream is told with a request.
 *
 * @param target upstream and chain
 * @param left time left until the caller stops waiting, empty if it did not say
 * @param workspace workspace of the caller, empty for anonymous requests
 * @param priority rank, 0 first
 * @param lastEventId event after which the stream goes on, empty for a whole stream
 */
public record UpstreamTerms(
        Target target,
        Optional<Duration> left,
        Optional<String> workspace,
        int priority,
        OptionalLong lastEventId) {}
