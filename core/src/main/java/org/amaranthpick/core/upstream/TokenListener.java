package org.amaranthpick.core.upstream;

/** Receives the stream of one attempt. Calls do not overlap and may come on any thread. */
public interface TokenListener {
    /** Called before the first byte of the call is sent. */
    void onSending();

    /**
     * Called for each frame. Frames may be late, duplicated or belong to another attempt; the
     * listener has to check them.
     *
     * @param frame the frame
     */
    void onToken(TokenFrame frame);

    /**
     * Called when the stream ends; no call follows it.
     *
     * @param end result of the stream
     */
    void onEnd(StreamEnd end);
}
