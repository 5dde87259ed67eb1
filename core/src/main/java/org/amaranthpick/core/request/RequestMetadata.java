package org.amaranthpick.core.request;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Attributes common to model requests and service calls.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param deadline time by which the answer must be complete, if the caller set one
 * @param idempotent false if the request must run at most once
 * @param idempotencyKey key that identifies repeats of the request
 */
record RequestMetadata(
        String requestId,
        WorkspaceSpec workspace,
        Optional<Instant> deadline,
        boolean idempotent,
        Optional<String> idempotencyKey) {

    static RequestMetadata of(ModelRequest request) {
        return new RequestMetadata(
                request.requestId(),
                request.workspace(),
                request.deadline(),
                request.idempotent(),
                request.idempotencyKey());
    }

    static RequestMetadata of(ServiceRequest request) {
        return new RequestMetadata(
                request.call().requestId(),
                request.workspace(),
                request.deadline(),
                request.idempotent(),
                request.idempotencyKey());
    }
}
