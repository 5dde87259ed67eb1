package org.amaranthpick.core.request;

import org.amaranthpick.core.upstream.ServiceReply;

/** Receives the result of one service call; exactly one method is called, once. */
public interface ServiceSink {
    /**
     * Receives the answer of this call or of an earlier call with the same idempotency key.
     *
     * @param reply the answer
     * @param replayed true if it is the stored answer of an earlier call
     */
    void onAnswered(ServiceReply.Answered reply, boolean replayed);

    /**
     * Receives the outcome of a call without an answer.
     *
     * @param outcome {@link Outcome.NotRun} or {@link Outcome.Interrupted}
     */
    void onFailed(Outcome outcome);
}
