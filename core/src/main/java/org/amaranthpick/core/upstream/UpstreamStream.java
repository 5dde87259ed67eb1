package org.amaranthpick.core.upstream;

/** Handle of the stream of an attempt. */
public interface UpstreamStream {
    /** Pauses reading until {@link #resume()}, to apply backpressure for a slow caller. */
    void pause();

    /** Resumes reading. */
    void resume();

    /** Cancels the attempt at its upstreams; the listener may still receive late frames. */
    void cancel();
}
