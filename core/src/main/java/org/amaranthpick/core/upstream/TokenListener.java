package org.amaranthpick.core.upstream;

/** Told of one attempt's stream. Calls of one stream come one after another, on any thread. */
public interface TokenListener {
    /** The first byte of the call may leave this host from now on. */
    void onSending();

    /**
     * A token came. Frames may be late, doubled or of another attempt; the listener checks.
     *
     * @param frame the token
     */
    void onToken(TokenFrame frame);

    /**
     * The stream ended; nothing is told after it.
     *
     * @param end how it ended
     */
    void onEnd(StreamEnd end);
}
