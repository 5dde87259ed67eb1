package org.amaranthpick.core.request;

import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenFrame;

/** Takes the events of attempts on the request's event queue. */
interface AttemptEvents {
    /**
     * The first byte may leave from now on.
     *
     * @param attempt attempt
     */
    void onSending(Attempt attempt);

    /**
     * A frame came on the attempt's stream.
     *
     * @param attempt attempt
     * @param frame the frame
     */
    void onToken(Attempt attempt, TokenFrame frame);

    /**
     * The attempt's stream ended.
     *
     * @param attempt attempt
     * @param end how it ended
     */
    void onEnd(Attempt attempt, StreamEnd end);
}
