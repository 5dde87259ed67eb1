package org.amaranthpick.server.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.amaranthpick.core.peer.PeerMessage;

/** Message of tests. */
record TextMessage(String text) implements PeerMessage {
    static final int TAG = 1000;
    static final String MALFORMED = "malformed";
    static final String UNKNOWN = "unknown";

    /** Codec of tests: the payload is the text. */
    static final FrameCodec CODEC =
            new FrameCodec() {
                @Override
                public byte[] encode(PeerMessage message) {
                    return ((TextMessage) message).text().getBytes(StandardCharsets.UTF_8);
                }

                @Override
                public Optional<PeerMessage> decode(byte[] payload) throws IOException {
                    String text = new String(payload, StandardCharsets.UTF_8);
                    if (text.equals(MALFORMED)) {
                        throw new IOException("malformed message");
                    }
                    return text.equals(UNKNOWN)
                            ? Optional.empty()
                            : Optional.of(new TextMessage(text));
                }
            };

    @Override
    public int tag() {
        return TAG;
    }
}
