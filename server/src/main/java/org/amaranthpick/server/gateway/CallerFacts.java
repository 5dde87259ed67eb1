package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the head of a caller's request says.
 *
 * @param requestId id of this attempt of the caller, empty string if it gave none
 * @param deadline how long the caller will wait, empty if it does not say
 * @param key key that stands for a workspace, empty if none was sent
 * @param lastEventId last event of the stream that the caller has, empty if none
 */
public record CallerFacts(
        String requestId,
        Optional<Duration> deadline,
        Optional<String> key,
        OptionalLong lastEventId) {}
