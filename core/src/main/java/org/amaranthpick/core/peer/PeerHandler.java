package org.amaranthpick.core.peer;

import org.amaranthpick.core.name.Identity;

/** Handles messages from other daemons. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message. Must not block.
     *
     * @param from authenticated host of the sender
     * @param message received message
     */
    void onMessage(Identity from, PeerMessage message);
}
