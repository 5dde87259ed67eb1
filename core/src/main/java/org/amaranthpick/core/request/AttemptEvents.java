package org.amaranthpick.core.request;

import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;

/** Handles the events of attempts on the request's event queue. */
interface AttemptEvents {
    /**
     * Called before the first byte of the call is sent.
     *
     * @param attempt the attempt
     */
    void onSending(Attempt attempt);

    /**
     * Called when a frame arrives on the attempt's stream.
     *
     * @param attempt the attempt
     * @param frame the frame
     */
    void onToken(Attempt attempt, TokenFrame frame);

    /**
     * Called when the attempt's stream ends.
     *
     * @param attempt the attempt
     * @param end how it ended
     */
    void onEnd(Attempt attempt, StreamEnd end);
}
