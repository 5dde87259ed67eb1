package org.amaranthpick.server.peer;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Connections that have not proved a key yet, of bounded number. */
final class Strangers {
    private final int mMaxCount;
    private final Set<IncomingConnection> mConnections = new LinkedHashSet<>();

    Strangers(int maxCount) {
        mMaxCount = maxCount;
    }

    /**
     * Adds a connection.
     *
     * @return the oldest one, to be closed, if there are too many: a peer proves its key within
     *     milliseconds, so that the oldest is a peer least likely
     */
    synchronized Optional<IncomingConnection> add(IncomingConnection connection) {
        mConnections.add(connection);
        if (mConnections.size() <= mMaxCount) {
            return Optional.empty();
        }
        Iterator<IncomingConnection> oldest = mConnections.iterator();
        Optional<IncomingConnection> removed = Optional.of(oldest.next());
        oldest.remove();
        return removed;
    }

    synchronized void remove(IncomingConnection connection) {
        mConnections.remove(connection);
    }

    synchronized List<IncomingConnection> all() {
        return List.copyOf(mConnections);
    }
}
