package org.amaranthpick.standins;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.BlockingHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/** HTTP listener of a stand-in on 127.0.0.1, with faults of the host and its connections. */
final class StandInServer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int MAX_WORKERS = 256;
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

    private final HttpHandler mHandler;
    private final Set<ServerConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final Set<ServerConnection> mSilent = ConcurrentHashMap.newKeySet();
    private Undertow mUndertow;
    private int mPort;

    StandInServer(HttpHandler handler) {
        mHandler = handler;
    }

    /** Starts listening, on the same port as before if it listened before. */
    synchronized void start() {
        if (mUndertow != null) {
            return;
        }
        mUndertow =
                Undertow.builder()
                        .addHttpListener(mPort, HOST)
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(MAX_WORKERS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(this::track)
                        .build();
        mUndertow.start();
        InetSocketAddress bound =
                (InetSocketAddress) mUndertow.getListenerInfo().get(0).getAddress();
        mPort = bound.getPort();
    }

    URI address() {
        return URI.create("http://" + HOST + ":" + mPort);
    }

    /** Stops listening and closes every connection at once. */
    synchronized void die() {
        if (mUndertow == null) {
            return;
        }
        closeConnections();
        mUndertow.stop();
        mUndertow = null;
        closeConnections();
    }

    /** Closes every open connection; new ones work. */
    void closeConnections() {
        mConnections.forEach(IoUtils::safeClose);
        mConnections.clear();
    }

    /** Makes every open connection silent for good; new ones work. */
    void silenceConnections() {
        mSilent.addAll(mConnections);
    }

    /** Tells whether the connection of an exchange is silent. */
    boolean isSilent(HttpServerExchange exchange) {
        return mSilent.contains(exchange.getConnection());
    }

    /** Counts the open connections. */
    int connections() {
        return mConnections.size();
    }

    @Override
    public void close() {
        die();
    }

    private void track(HttpServerExchange exchange) throws Exception {
        ServerConnection connection = exchange.getConnection();
        if (mConnections.add(connection)) {
            connection.addCloseListener(this::forget);
        }
        new BlockingHandler(mHandler).handleRequest(exchange);
    }

    private void forget(ServerConnection connection) {
        mConnections.remove(connection);
        mSilent.remove(connection);
    }
}
