package org.amaranthpick.server.peer;

import java.io.IOException;
import java.util.Optional;
import org.amaranthpick.core.peer.PeerMessage;

/** Turns messages into payload bytes and back. Thread-safe. */
public interface FrameCodec {
    /**
     * Writes one message.
     *
     * @param message message
     * @return payload
     */
    byte[] encode(PeerMessage message);

    /**
     * Reads one message.
     *
     * @param payload payload
     * @return message, empty if its type is unknown here
     * @throws IOException if the bytes are no message
     */
    Optional<PeerMessage> decode(byte[] payload) throws IOException;
}
