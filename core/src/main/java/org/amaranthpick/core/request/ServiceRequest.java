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
 * @param configuration configuration used for all attempts of the call
 * @param workspace workspace of the caller
 * @param service service to call
 * @param call HTTP call to send
 * @param priority 0 (lowest) to 9
 * @param deadline time by which the answer must be complete, if the caller set one
 * @param idempotent false if the call must run at most once
 * @param idempotencyKey key that identifies repeats of the call
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
