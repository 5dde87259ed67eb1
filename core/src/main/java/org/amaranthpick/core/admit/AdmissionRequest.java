package org.amaranthpick.core.admit;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Request for admission.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param group group of upstreams that shares capacity: key of the model version or service
 * @param tokens tokens charged to the limits: prompt plus expected answer
 * @param priority 0 (lowest) to 9
 * @param deadline time at which the answer must be complete, if the caller set one
 */
public record AdmissionRequest(
        String requestId,
        WorkspaceSpec workspace,
        String group,
        int tokens,
        int priority,
        Optional<Instant> deadline) {}
