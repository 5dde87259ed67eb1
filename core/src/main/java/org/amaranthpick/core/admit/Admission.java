package org.amaranthpick.core.admit;

import java.util.function.Consumer;
import org.amaranthpick.core.time.Cancellable;

/** Decides when a request may be sent. Thread-safe; never blocks. */
public interface Admission {
    /**
     * Asks for admission.
     *
     * @param request the request
     * @param then told of the decision once, perhaps before this method returns
     * @return handle that takes a waiting request out of the queue; it is then not told of anything
     */
    Cancellable request(AdmissionRequest request, Consumer<AdmissionDecision> then);
}
