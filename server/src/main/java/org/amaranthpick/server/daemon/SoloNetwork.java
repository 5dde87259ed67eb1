package org.amaranthpick.server.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.peer.PeerHandler;
import org.amaranthpick.core.peer.PeerMessage;
import org.amaranthpick.core.peer.PeerNetwork;

/** Network of a daemon without peers: messages to itself arrive, all others are lost. */
final class SoloNetwork implements PeerNetwork {
    private final Identity mSelf;
    private final Map<Integer, PeerHandler> mHandlers = new ConcurrentHashMap<>();

    SoloNetwork(Identity self) {
        mSelf = self;
    }

    @Override
    public void send(Identity to, PeerMessage message) {
        PeerHandler handler = mHandlers.get(message.tag());
        if (to.equals(mSelf) && handler != null) {
            handler.onMessage(mSelf, message);
        }
    }

    @Override
    public void handle(int tag, PeerHandler handler) {
        mHandlers.put(tag, handler);
    }
}
