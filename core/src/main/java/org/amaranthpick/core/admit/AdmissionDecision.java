package org.amaranthpick.core.admit;

import java.time.Duration;
import java.util.Optional;
import org.amaranthpick.core.request.RefusalReason;

/** Decision of {@link Admission}. */
public sealed interface AdmissionDecision {
    /**
     * The request may be sent.
     *
     * @param permit permit to hold while the request is in progress
     */
    record Admitted(Permit permit) implements AdmissionDecision {}

    /**
     * The request is refused and has not run.
     *
     * @param reason reason of the refusal
     * @param message explanation for the caller
     * @param retryAfter time after which a retry may succeed, if known
     */
    record Refused(RefusalReason reason, String message, Optional<Duration> retryAfter)
            implements AdmissionDecision {}
}
