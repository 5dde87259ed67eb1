package org.amaranthpick.core.request;

import org.amaranthpick.core.time.Cancellable;

/** Phase of a request's life. */
sealed interface Phase {
    /** Created, nothing done. */
    record Fresh() implements Phase {}

    /** Waits for admission. */
    record Admitting() implements Phase {}

    /** Waits for the claim of its idempotency key. */
    record Claiming() implements Phase {}

    /**
     * Waits before the next attempt.
     *
     * @param timer starts the attempt
     */
    record BackingOff(Cancellable timer) implements Phase {}

    /** An attempt is in progress, or its tokens are being handed on. */
    record Running() implements Phase {}

    /** The outcome was told. */
    record Ended() implements Phase {}
}
