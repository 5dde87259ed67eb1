package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Connections that have ended stay among the open ones, and fill the heap. */
class OpenConnectionsTest {
    private static final int CONNECTIONS = 20;
    private static final long LIMIT_S = 20;

    /** How a caller uses its connection before it closes it. */
    private enum Caller {
        SILENT("", true),
        IN_HEAD("GET /x HTTP/1.1\r\nHost:", true),
        KEEPING("GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n", true),
        CLOSING("GET /x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n", false),
        NOT_HTTP("\u0001\u0002\r\n\r\n", false);

        private final String mText;
        private final boolean mStaysOpen;

        Caller(String text, boolean staysOpen) {
            mText = text;
            mStaysOpen = staysOpen;
        }
    }

    /** A first request that was in transit as a host stopped was cut. */
    @Test
    void closesANewConnectionAtTheSecondTime() throws Exception {
        XnioWorker worker = createWorker();
        int port = freePort();
        try (GatewayListeners listeners = new GatewayListeners(worker)) {
            listeners.start(URI.create("http://127.0.0.1:" + port), exchange -> {});
            try (Socket answered = new Socket(InetAddress.getLoopbackAddress(), port);
                    Socket silent = new Socket(InetAddress.getLoopbackAddress(), port)) {
                awaitCount(worker, listeners, 2);
                closeWaiting(worker, listeners);
                answered.getOutputStream()
                        .write(Caller.KEEPING.mText.getBytes(StandardCharsets.ISO_8859_1));
                assertEquals('H', answered.getInputStream().read());
                assertEquals(2, count(worker, listeners));
                closeWaiting(worker, listeners);
                assertEquals(-1, silent.getInputStream().read());
                awaitCount(worker, listeners, 0);
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void closeWaiting(XnioWorker worker, GatewayListeners listeners)
            throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        worker.getIoThread()
                .execute(
                        () -> {
                            listeners.connections().closeWaiting();
                            closed.complete(null);
                        });
        closed.get(LIMIT_S, TimeUnit.SECONDS);
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    @ParameterizedTest
    @EnumSource(Caller.class)
    void forgetsClosedConnections(Caller caller) throws Exception {
        XnioWorker worker = createWorker();
        int port = freePort();
        try (GatewayListeners listeners = new GatewayListeners(worker)) {
            listeners.start(URI.create("http://127.0.0.1:" + port), exchange -> {});
            for (int i = 0; i < CONNECTIONS; i++) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.getOutputStream()
                            .write(caller.mText.getBytes(StandardCharsets.ISO_8859_1));
                    if (caller.mStaysOpen) {
                        awaitCount(worker, listeners, 1);
                    }
                }
                awaitCount(worker, listeners, 0);
            }
        } finally {
            worker.shutdownNow();
        }
    }

    /** As for lack of memory for buffers: the caller would wait on a connection nobody reads. */
    @Test
    void closesAConnectionThatCannotBeOpened() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        OpenConnections connections = new OpenConnections(new HeadMemory(1024));
        try (AcceptingChannel<StreamConnection> listening =
                worker.createStreamConnectionServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ChannelListeners.openListenerAdapter(
                                connection ->
                                        connections.open(
                                                connection,
                                                opened -> {
                                                    throw new OutOfMemoryError("made to fail");
                                                })),
                        OptionMap.EMPTY)) {
            listening.resumeAccepts();
            try (Socket socket = new Socket()) {
                socket.connect(listening.getLocalAddress());
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
                assertEquals(-1, socket.getInputStream().read());
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void awaitCount(XnioWorker worker, GatewayListeners listeners, int wanted)
            throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        int count = count(worker, listeners);
        while (count != wanted && System.nanoTime() < endNs) {
            count = count(worker, listeners);
        }
        assertEquals(wanted, count);
    }

    private static int count(XnioWorker worker, GatewayListeners listeners) throws Exception {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        worker.getIoThread().execute(() -> count.complete(listeners.connections().count()));
        return count.get(LIMIT_S, TimeUnit.SECONDS);
    }
}
