package org.amaranthpick.core.peer;

import org.amaranthpick.core.name.Identity;

/** Told of messages from other daemons. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Takes one message. Must not block.
     *
     * @param from host of the sender, authenticated
     * @param message message
     */
    void onMessage(Identity from, PeerMessage message);
}
