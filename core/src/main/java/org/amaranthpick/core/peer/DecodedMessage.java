package org.amaranthpick.core.peer;

/** Result of decoding one peer message. */
public sealed interface DecodedMessage {
    /**
     * The message was decoded.
     *
     * @param message decoded message
     */
    record Message(PeerMessage message) implements DecodedMessage {}

    /**
     * The message has a version or a tag that this process does not know.
     *
     * @param version envelope version
     * @param tag message tag
     */
    record Skipped(int version, int tag) implements DecodedMessage {}

    /**
     * The bytes are not a valid message.
     *
     * @param reason why decoding failed
     */
    record Malformed(String reason) implements DecodedMessage {}
}
