package org.amaranthpick.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/** Connection that was opened before there is a call for it. */
public final class OpenedConnection implements AutoCloseable {
    private final HostPool mPool;
    private final LimitedConnection mConnection;

    /** Receives what came of opening a connection, on the I/O thread of its pool. */
    public interface Listener {
        /**
         * The connection is open.
         *
         * @param connection the connection, to be used for one call or closed
         */
        void onOpened(OpenedConnection connection);

        /**
         * There is none.
         *
         * @param reason what was seen
         */
        void onFailed(String reason);
    }

    OpenedConnection(HostPool pool, LimitedConnection connection) {
        mPool = pool;
        mConnection = connection;
    }

    /**
     * Closes the connection and tells whether the receiver had kept it open and sent nothing.
     *
     * @return false if the receiver has closed or reset it, or sent bytes
     */
    public boolean closeIfSilent() {
        if (!mConnection.isOpen()) {
            return false;
        }
        try (StreamConnection raw = mConnection.client().performUpgrade()) {
            return raw.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    HostPool pool() {
        return mPool;
    }

    LimitedConnection connection() {
        return mConnection;
    }

    @Override
    public void close() {
        mConnection.closeNow();
    }
}
