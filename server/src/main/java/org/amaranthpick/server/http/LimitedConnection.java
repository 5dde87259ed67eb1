package org.amaranthpick.server.http;

import io.undertow.client.ClientConnection;

/**
 * Connection whose calls are limited in what they may read.
 *
 * @param client the connection
 * @param guards to be told of each call and its progress
 */
record LimitedConnection(ClientConnection client, ReadGuards guards) {
    boolean isOpen() {
        return client.isOpen();
    }

    /** Returns whether the connection may carry another call. */
    boolean isReusable() {
        return isOpen() && guards.isReusable();
    }

    void closeNow() {
        Connections.closeNow(client);
    }
}
