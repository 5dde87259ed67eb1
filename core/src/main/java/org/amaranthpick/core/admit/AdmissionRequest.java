package org.amaranthpick.core.admit;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Request that asks for admission.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param group what the capacity belongs to: key of the model version or service
 * @param tokens tokens counted against the limits: prompt and expected answer
 * @param priority 0 (lowest) to 9
 * @param deadline when the whole answer must be there, if the caller said so
 */
public record AdmissionRequest(
        String requestId,
        WorkspaceSpec workspace,
        String group,
        int tokens,
        int priority,
        Optional<Instant> deadline) {}
