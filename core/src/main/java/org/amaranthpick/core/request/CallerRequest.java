package org.amaranthpick.core.request;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.PipelineSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * Model request of an authenticated caller.
 *
 * @param requestId id of the request, unique over the whole system
 * @param configuration configuration pinned for the whole request
 * @param workspace workspace of the caller
 * @param pipeline pipeline called
 * @param prompt prompt text
 * @param maxTokens tokens of the answer at most, 1 or more
 * @param priority 0 (lowest) to 9
 * @param deadline when the whole answer must be there, if the caller said so
 * @param idempotent false if it must run at most once
 * @param idempotencyKey key under which repeats are recognised
 */
public record CallerRequest(
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
