package org.amaranthpick.core.request;

import org.amaranthpick.core.time.Cancellable;

/** Phase of a request. */
sealed interface RequestPhase {
    /** Created and not started. */
    record Created() implements RequestPhase {}

    /** Waiting for admission. */
    record Admitting() implements RequestPhase {}

    /** Waiting for the claim of its idempotency key. */
    record Claiming() implements RequestPhase {}

    /**
     * Waiting before the next attempt.
     *
     * @param timer timer that starts the attempt
     */
    record BackingOff(Cancellable timer) implements RequestPhase {}

    /** An attempt is in progress, or its tokens are being emitted to the caller. */
    record Running() implements RequestPhase {}

    /** The outcome is decided. */
    record Ended() implements RequestPhase {}
}
