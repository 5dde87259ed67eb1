package org.amaranthpick.server.http;

import io.undertow.client.ClientConnection;

/**
 * Connection whose calls are bounded in what they may read.
 *
 * @param client the connection
 * @param limit to be told of the progress of each call
 */
record LimitedConnection(ClientConnection client, ProgressLimit limit) {
    boolean isOpen() {
        return client.isOpen();
    }

    void closeNow() {
        Connections.closeNow(client);
    }
}
