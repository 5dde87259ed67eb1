package org.amaranthpick.core.request;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Model request of an authenticated caller.
 *
 * @param requestId globally unique id of the request
 * @param configuration configuration used for all attempts of the request
 * @param workspace workspace of the caller
 * @param pipeline pipeline to run
 * @param prompt prompt text
 * @param maxTokens maximum number of answer tokens, 1 or more
 * @param priority 0 (lowest) to 9
 * @param deadline time by which the answer must be complete, if the caller set one
 * @param idempotent false if the request must run at most once
 * @param idempotencyKey key that identifies repeats of the request
 */
public record ModelRequest(
        String requestId,
        Configuration configuration,
        WorkspaceSpec workspace,
        PipelineSpec pipeline,
        String prompt,
        int maxTokens,
        int priority,
        Optional<Instant> deadline,
        boolean idempotent,
        Optional<String> idempotencyKey) {}
