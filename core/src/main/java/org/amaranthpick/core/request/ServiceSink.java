package org.amaranthpick.core.request;

import org.amaranthpick.core.upstream.ServiceReply;

/** Takes the result of one service call; exactly one method is called, once. */
public interface ServiceSink {
    /**
     * The service answered, now or to an earlier call with the same idempotency key.
     *
     * @param reply the answer
     * @param replayed true if it is the kept answer of an earlier call
     */
    void onAnswered(ServiceReply.Answered reply, boolean replayed);

    /**
     * The call has no answer.
     *
     * @param outcome {@link Outcome.NotRun} or {@link Outcome.Interrupted}
     */
    void onFailed(Outcome outcome);
}
