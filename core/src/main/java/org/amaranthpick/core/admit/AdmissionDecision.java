package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.request.RefusalReason;

/** Decision of {@link Admission}. */
public sealed interface AdmissionDecision {
    /**
     * The request may be sent.
     *
     * @param permit held while the request is in progress
     */
    record Admitted(Permit permit) implements AdmissionDecision {}

    /**
     * The request is refused; it has not run.
     *
     * @param reason why
     * @param message what happened
     * @param retryAfter when to come back, where that helps
     */
    record Refused(RefusalReason reason, String message, Optional<Duration> retryAfter)
            implements AdmissionDecision {}
}
