package org.amaranthpick.server.caller;

import java.util.Optional;
import org.amaranthpick.core.request.Outcome;
import org.amaranthpick.core.request.RefusalReason;

/**
 * Request that cannot be understood or is not allowed; nothing ran.
 *
 * @param status HTTP status, 4xx
 * @param reason kind of the fault
 * @param message what is wrong
 * @param remedy what the caller can do
 */
public record RequestFault(int status, RefusalReason reason, String message, String remedy) {
    /**
     * Creates a fault of a malformed request.
     *
     * @param message what is wrong
     * @param remedy what the caller can do
     * @return fault with status 400
     */
    public static RequestFault badRequest(String message, String remedy) {
        return new RequestFault(400, RefusalReason.BAD_REQUEST, message, remedy);
    }

    /**
     * Returns the fault as an outcome.
     *
     * @return refusal without running
     */
    public Outcome.NotRun outcome() {
        return new Outcome.NotRun(reason, message, remedy, Optional.empty());
    }
}
