package org.amaranthpick.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthpick.core.gateway.admission.WorkClaim;

/**
 * Metadata from the headers of a caller's request.
 *
 * @param requestId id that the caller gave this request, empty string if it sent none
 * @param deadline time that the caller is willing to wait, empty if not specified
 * @param apiKey key that identifies the caller's workspace, empty if none was sent
 * @param lastEventId id of the last event that the caller received before it resumed the stream,
 *     empty if it starts a new stream
 * @param sharedPromptParts ids of the parts of the prompt that other requests may have in common
 *     with this one, in order
 * @param work what the caller says about the work that the request needs
 */
public record CallerRequestMetadata(
        String requestId,
        Optional<Duration> deadline,
        Optional<String> apiKey,
        OptionalLong lastEventId,
        List<String> sharedPromptParts,
        WorkClaim work) {
    /** Copies the list. */
    public CallerRequestMetadata {
        sharedPromptParts = List.copyOf(sharedPromptParts);
    }
}
