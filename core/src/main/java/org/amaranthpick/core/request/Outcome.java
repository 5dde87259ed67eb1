package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.Optional;

/** Outcome of a request. Every request has exactly one. */
public sealed interface Outcome {
    /**
     * The complete answer was emitted.
     *
     * @param finishReason {@code stop} or {@code length}
     * @param promptTokens number of prompt tokens
     * @param tokens number of answer tokens
     */
    record Answered(String finishReason, int promptTokens, int tokens) implements Outcome {}

    /**
     * The request was refused and did not run on any upstream.
     *
     * @param reason reason of the refusal
     * @param message error message
     * @param remedy recommended action of the caller
     * @param retryAfter delay after which a retry may succeed, if known
     */
    record NotRun(
            RefusalReason reason, String message, String remedy, Optional<Duration> retryAfter)
            implements Outcome {}

    /**
     * The request may have run and the answer is incomplete.
     *
     * @param message error message
     * @param remedy recommended action of the caller
     * @param tokens number of tokens emitted before the interruption
     */
    record Interrupted(String message, String remedy, int tokens) implements Outcome {}

    /**
     * The stored answer of an earlier request with the same idempotency key.
     *
     * @param text stored answer
     * @param finishReason finish reason of the stored answer
     */
    record Replayed(String text, String finishReason) implements Outcome {}
}
