package org.amaranthpick.bench;

import org.amaranthpick.core.peer.VirtualPeerNetwork;

/** Control part of one daemon in a measuring run. */
interface ControlDaemon {
    /** Returns the generation in force. */
    long generation();

    /** Returns its side of the network. */
    VirtualPeerNetwork.Endpoint endpoint();

    /** Names the role that it has now. */
    String role();
}
