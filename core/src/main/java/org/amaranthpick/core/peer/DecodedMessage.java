package org.amaranthpick.core.peer;

/** Result of reading one peer message. */
public sealed interface DecodedMessage {
    /**
     * The message was read.
     *
     * @param message message
     */
    record Message(PeerMessage message) implements DecodedMessage {}

    /**
     * The message is of a version or type that this process does not know.
     *
     * @param version envelope version
     * @param tag message tag
     */
    record Skipped(int version, int tag) implements DecodedMessage {}

    /**
     * The bytes are no message.
     *
     * @param reason what was seen
     */
    record Malformed(String reason) implements DecodedMessage {}
}
