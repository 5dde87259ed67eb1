package org.amaranthpick.core.request;

import java.time.Duration;
import java.util.Optional;

/** Outcome of a request. Exactly one is told for each request. */
public sealed interface Outcome {
    /**
     * The whole answer was emitted.
     *
     * @param finishReason {@code stop} or {@code length}
     * @param promptTokens tokens of the prompt
     * @param tokens tokens of the answer
     */
    record Answered(String finishReason, int promptTokens, int tokens) implements Outcome {}

    /**
     * The request was refused and did not run anywhere.
     *
     * @param reason why
     * @param message what happened
     * @param remedy what the caller can do
     * @param retryAfter when to come back, where that helps
     */
    record NotRun(
            RefusalReason reason, String message, String remedy, Optional<Duration> retryAfter)
            implements Outcome {}

    /**
     * The request may have run and the answer is not whole.
     *
     * @param message what happened
     * @param remedy what the caller can do
     * @param tokens tokens emitted before
     */
    record Interrupted(String message, String remedy, int tokens) implements Outcome {}

    /**
     * An earlier request with the same idempotency key was answered; this is its answer.
     *
     * @param text kept answer
     * @param finishReason its finish reason
     */
    record Replayed(String text, String finishReason) implements Outcome {}
}
