package org.amaranthpick.server.peer;

import java.io.IOException;
import java.util.Optional;
import org.amaranthpick.core.peer.DecodedMessage;
import org.amaranthpick.core.peer.PeerCodec;
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

    /**
     * Uses the codec of the registered message types.
     *
     * @param codec codec
     * @return frame codec
     */
    static FrameCodec of(PeerCodec codec) {
        return new FrameCodec() {
            @Override
            public byte[] encode(PeerMessage message) {
                return codec.encode(message);
            }

            @Override
            public Optional<PeerMessage> decode(byte[] payload) throws IOException {
                DecodedMessage decoded = codec.decode(payload);
                if (decoded instanceof DecodedMessage.Malformed malformed) {
                    throw new IOException(malformed.reason());
                }
                return decoded instanceof DecodedMessage.Message read
                        ? Optional.of(read.message())
                        : Optional.empty();
            }
        };
    }
}
