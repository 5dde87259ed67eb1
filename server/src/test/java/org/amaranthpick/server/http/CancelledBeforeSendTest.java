package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A call that is cancelled before it tells that it sends must not reach the upstream afterwards:
 * its caller has been told that the request will never run.
 */
class CancelledBeforeSendTest {
    private static final int LIMIT_S = 20;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private static final class Call implements ResponseListener {
        private final CompletableFuture<CallEnd> mEnd = new CompletableFuture<>();
        private volatile boolean mSending;

        @Override
        public void onSending() {
            mSending = true;
        }

        @Override
        public void onResponse(int status, HeaderMap headers) {}

        @Override
        public void onBytes(ByteBuffer bytes) {}

        @Override
        public void onEnd(CallEnd end) {
            mEnd.complete(end);
        }
    }

    @Test
    void sendsNothingOnAKeptConnectionOnceCancelled() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpConnector connector =
                        new HttpConnector(
                                worker,
                                new IoThreadScheduler(worker.getIoThread()),
                                ConnectorSettings.defaults())) {
            OutgoingRequest request =
                    new OutgoingRequest(
                            URI.create("http://127.0.0.1:" + server.getLocalPort()),
                            "POST",
                            "/",
                            Map.of(),
                            "body".getBytes(StandardCharsets.ISO_8859_1),
                            Duration.ofSeconds(LIMIT_S),
                            Optional.empty());
            Call first = new Call();
            connector.prepare(request, first).start();
            try (Socket socket = server.accept()) {
                readRequest(socket.getInputStream());
                socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
                first.mEnd.get(LIMIT_S, TimeUnit.SECONDS);
                Call second = new Call();
                CompletableFuture<Boolean> told = new CompletableFuture<>();
                worker.getIoThread()
                        .execute(
                                () -> {
                                    OutgoingCall call = connector.prepare(request, second);
                                    call.start();
                                    boolean sending = second.mSending;
                                    call.cancel();
                                    told.complete(sending);
                                });
                assertEquals(false, told.get(LIMIT_S, TimeUnit.SECONDS));
                second.mEnd.get(LIMIT_S, TimeUnit.SECONDS);
                socket.setSoTimeout(2000);
                assertEquals("", restOf(socket.getInputStream()));
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\nbody") < 0) {
            text.append((char) in.read());
        }
    }

    private static String restOf(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (IOException e) {
            return text.toString();
        }
        return text.toString();
    }
}
