package org.amaranthpick.core.peer;

import org.amaranthpick.core.name.Identity;

/**
 * Sends messages to other daemons. Delivery is not guaranteed, and messages sent before and after a
 * reconnect may arrive in any order.
 */
public interface PeerNetwork {
    /**
     * Sends one message. It is dropped silently if the peer cannot be reached.
     *
     * @param to host of the receiver
     * @param message message to send
     */
    void send(Identity to, PeerMessage message);

    /**
     * Registers the handler of one message tag. To be called at start only.
     *
     * @param tag message tag
     * @param handler called for each message, on any thread
     */
    void handle(int tag, PeerHandler handler);
}
