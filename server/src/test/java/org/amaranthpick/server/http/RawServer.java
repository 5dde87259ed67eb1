package org.amaranthpick.server.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Server on a plain socket that answers each request without a body with the next response. */
final class RawServer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket mListener =
            new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Response> mResponses = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> mClosedByClient = new LinkedBlockingQueue<>();

    /** Bytes of a response, one character a byte, and whether the connection ends with them. */
    private record Response(String bytes, boolean close) {}

    RawServer() throws IOException {
        start(this::accept);
    }

    /** Adds a response on a connection that stays open. */
    RawServer respond(String response) {
        mResponses.add(new Response(response, false));
        return this;
    }

    /** Adds a response that ends its connection. */
    RawServer respondAndClose(String response) {
        mResponses.add(new Response(response, true));
        return this;
    }

    /** Sends a request and waits for what comes of it. */
    BodyCollector.Reply call(HttpConnector connector, String method) throws Exception {
        BodyCollector collector = new BodyCollector(1 << 16);
        connector.send(
                new OutgoingRequest(
                        URI.create("http://127.0.0.1:" + mListener.getLocalPort()),
                        method,
                        "/",
                        Map.of(),
                        new byte[0],
                        Duration.ofSeconds(30),
                        Optional.empty()),
                collector);
        return collector.reply().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }

    /** Returns how many connections were accepted. */
    int connections() {
        return mSockets.size();
    }

    /** Waits until the client has closed a connection. */
    boolean awaitClosedByClient() throws InterruptedException {
        return mClosedByClient.poll(30, TimeUnit.SECONDS) != null;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (readHead(socket.getInputStream())) {
                Response response = mResponses.take();
                socket.getOutputStream()
                        .write(response.bytes().getBytes(StandardCharsets.ISO_8859_1));
                if (response.close()) {
                    return;
                }
            }
            mClosedByClient.add(true);
        } catch (IOException e) {
            mClosedByClient.add(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the head of a request; returns false at the end of the connection. */
    private static boolean readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_END.length()
                || head.indexOf(HEAD_END, head.length() - HEAD_END.length()) < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
