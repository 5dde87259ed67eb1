package org.amaranthpick.core.upstream;

/** Handle of a running attempt. */
public interface UpstreamStream {
    /** Stops reading until {@link #resume()}; used when the caller reads slowly. */
    void pause();

    /** Goes on reading. */
    void resume();

    /** Cancels the attempt at its upstreams; the listener may still be told of late frames. */
    void cancel();
}
