package org.amaranthpick.core.peer;

import org.amaranthpick.core.name.Identity;

/** Sends messages to other daemons. Delivery is neither sure nor ordered across reconnects. */
public interface PeerNetwork {
    /**
     * Sends one message; lost without notice if the peer cannot be reached.
     *
     * @param to host of the receiver
     * @param message message
     */
    void send(Identity to, PeerMessage message);

    /**
     * Registers the handler of one message tag. Called at start only.
     *
     * @param tag message tag
     * @param handler told of each message, on any thread
     */
    void handle(int tag, PeerHandler handler);
}
