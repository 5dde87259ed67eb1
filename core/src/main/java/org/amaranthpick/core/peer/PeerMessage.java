package org.amaranthpick.core.peer;

/** Message between two daemons. Each family of messages is a sealed type of its own package. */
public interface PeerMessage {
    /**
     * Returns the tag that stands for the type on the wire; tags are never reused.
     *
     * @return tag, 1 or more
     */
    int tag();
}
