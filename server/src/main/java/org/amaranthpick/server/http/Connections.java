package org.amaranthpick.server.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** Closes client connections. */
final class Connections {
    private Connections() {}

    /**
     * Closes a connection at once. The client's own close waits for the other side to close too,
     * which a silent one never does; taking over the raw connection avoids that.
     */
    static void closeNow(ClientConnection connection) {
        if (!connection.isOpen()) {
            IoUtils.safeClose(connection);
            return;
        }
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
