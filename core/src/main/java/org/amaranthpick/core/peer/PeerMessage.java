package org.amaranthpick.core.peer;

/** Message between two daemons. Each package that defines messages has a sealed type for them. */
public interface PeerMessage {
    /**
     * Returns the tag that identifies the message type on the wire. Tags are never reused.
     *
     * @return tag, 1 or more
     */
    int tag();
}
