package org.amaranthpick.core.request;

/** Handle of a submitted request. Thread-safe. */
public interface RequestHandle {
    /** Pauses the emission of tokens until {@link #resume()}. */
    void pause();

    /** Resumes the emission of tokens. */
    void resume();

    /**
     * Reports that the caller disconnected. The request ends, unless it must complete for its
     * idempotency key.
     */
    void cancel();
}
