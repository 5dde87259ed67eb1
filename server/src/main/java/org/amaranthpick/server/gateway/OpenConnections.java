package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Connections that a gateway's listeners have accepted, until they are closed. Confined to the I/O
 * thread.
 */
final class OpenConnections {
    private final Map<StreamConnection, Use> mUses = new HashMap<>();
    private final HeadMemory mHeads;

    private enum Use {
        /** No request has come yet. */
        NEW,

        /** No request has come since the last time that waiting connections were closed. */
        SILENT,

        /** A request is being read, served or answered. */
        BUSY,

        /** The last request has been answered, another one may come. */
        IDLE,

        /** The answer that announced the close is written; only the caller's close is awaited. */
        ANSWERED
    }

    /**
     * Creates an empty set.
     *
     * @param heads memory for heads of requests that have not come whole
     */
    OpenConnections(HeadMemory heads) {
        mHeads = heads;
    }

    /** Opens an accepted connection. */
    void open(StreamConnection connection, ChannelListener<StreamConnection> opener) {
        mUses.put(connection, Use.NEW);
        connection.setCloseListener(this::onClosed);
        connection
                .getSourceChannel()
                .setConduit(
                        new HeadCountingConduit(connection, bytes -> onRead(connection, bytes)));
        try {
            opener.handleEvent(connection);
        } catch (RuntimeException | Error e) {
            // Nobody would read it, and its caller would wait.
            IoUtils.safeClose(connection);
            throw e;
        }
    }

    private void onRead(StreamConnection connection, int bytes) {
        Use use = mUses.get(connection);
        if (use == Use.NEW || use == Use.SILENT || use == Use.IDLE) {
            mHeads.add(connection, bytes);
        }
    }

    private void onClosed(StreamConnection connection) {
        mUses.remove(connection);
        mHeads.release(connection);
    }

    /** Records that a request has come on its connection, and when its answer is written. */
    void onRequest(HttpServerExchange exchange) {
        StreamConnection connection =
                ((HttpServerConnection) exchange.getConnection()).getChannel();
        mUses.replace(connection, Use.BUSY);
        mHeads.release(connection);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    mUses.replace(connection, completed.isPersistent() ? Use.IDLE : Use.ANSWERED);
                    next.proceed();
                });
    }

    /** Returns how many are open. */
    int count() {
        return mUses.size();
    }

    /** Closes those that have had a request and wait for another one. */
    void closeIdle() {
        readAndClose(use -> use == Use.IDLE);
    }

    /**
     * Closes those that wait for a request. A new one is closed the next time, as its first request
     * is probably in transit.
     */
    void closeWaiting() {
        readAndClose(use -> use == Use.IDLE || use == Use.SILENT);
        mUses.replaceAll((connection, use) -> use == Use.NEW ? Use.SILENT : use);
    }

    /**
     * Reads what has arrived, so that it is answered, and closes what waits still. A request that
     * is in transit when its connection closes has not been read, so its caller can safely send it
     * to another daemon.
     */
    private void readAndClose(Predicate<Use> isWaiting) {
        for (StreamConnection connection : List.copyOf(mUses.keySet())) {
            if (isWaiting.test(mUses.get(connection))) {
                connection.getSourceChannel().wakeupReads();
                connection
                        .getIoThread()
                        .execute(
                                () -> {
                                    Use use = mUses.get(connection);
                                    if (use != null && isWaiting.test(use)) {
                                        IoUtils.safeClose(connection);
                                    }
                                });
            }
        }
    }

    /** Closes all; requests in progress are cut. */
    void closeAll() {
        List.copyOf(mUses.keySet()).forEach(IoUtils::safeClose);
    }
}
