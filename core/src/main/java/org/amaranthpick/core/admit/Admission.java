package org.amaranthpick.core.admit;

import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;

/** Decides when a request may be sent. Implementations are thread-safe and do not block. */
public interface Admission {
    /**
     * Requests admission.
     *
     * @param request request to admit
     * @param decisionHandler receives the decision exactly once, possibly before this method
     *     returns
     * @return handle that removes a waiting request from the queue; its handler is then not called
     */
    Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> decisionHandler);
}
