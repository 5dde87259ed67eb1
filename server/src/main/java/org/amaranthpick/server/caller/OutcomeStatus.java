package org.amaranthpick.server.caller;

import org.amaranthpick.core.request.RefusalReason;

/** HTTP status of each refusal. */
final class OutcomeStatus {
    static final int INTERRUPTED = 502;

    private OutcomeStatus() {}

    static int of(RefusalReason reason) {
        return switch (reason) {
            case BAD_REQUEST -> 400;
            case UNKNOWN_MODEL -> 404;
            case KEY_IN_PROGRESS, KEY_OUTCOME_UNKNOWN -> 409;
            case KEY_REUSED -> 422;
            case LIMIT_REACHED -> 429;
            default -> 503;
        };
    }
}
