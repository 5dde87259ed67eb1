package org.amaranthpick.core.request;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.WorkspaceSpec;
import org.amaranthpick.core.upstream.ServiceCall;

/**
 * Call of a plain service by an authenticated caller.
 *
 * @param configuration configuration pinned for the whole call
 * @param workspace workspace of the caller
 * @param service service called
 * @param call the call
 * @param priority 0 (lowest) to 9
 * @param deadline when the answer must be there, if the caller said so
 * @param idempotent false if it must run at most once
 * @param idempotencyKey key under which repeats are recognised
 */
public record ServiceRequest(
        Configuration configuration,
        WorkspaceSpec workspace,
        ServiceSpec service,
        ServiceCall call,
        int priority,
        Optional<Instant> deadline,
        boolean idempotent,
        Optional<String> idempotencyKey) {}
