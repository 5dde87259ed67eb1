package org.amaranthpick.core.request;

import java.time.Instant;
import java.util.Optional;
import org.amaranthpick.core.manifest.WorkspaceSpec;

/**
 * What model requests and service calls have in common.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param deadline when the answer must be there, if the caller said so
 * @param idempotent false if it must run at most once
 * @param idempotencyKey key under which repeats are recognised
 */
record ExchangeTerms(
        String requestId,
        WorkspaceSpec workspace,
        Optional<Instant> deadline,
        boolean idempotent,
        Optional<String> idempotencyKey) {

    static ExchangeTerms of(CallerRequest request) {
        return new ExchangeTerms(
                request.requestId(),
                request.workspace(),
                request.deadline(),
                request.idempotent(),
                request.idempotencyKey());
    }

    static ExchangeTerms of(ServiceRequest request) {
        return new ExchangeTerms(
                request.call().requestId(),
                request.workspace(),
                request.deadline(),
                request.idempotent(),
                request.idempotencyKey());
    }
}
