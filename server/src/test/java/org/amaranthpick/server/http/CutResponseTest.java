package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A server closes or resets its connection after each byte of its response. */
class CutResponseTest {
    private XnioWorker mWorker;
    private HttpConnector mConnector;

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        mConnector =
                new HttpConnector(
                        mWorker,
                        new IoThreadScheduler(mWorker.getIoThread()),
                        new ConnectorSettings(4, 4, Duration.ofSeconds(10), Duration.ZERO));
    }

    @AfterEach
    void stop() {
        mConnector.close();
        mWorker.shutdown();
    }

    /** A response without a length may end with its connection, but not by a reset. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhello',hello,true",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n',hello,true",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n',hello,true",
        "'HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nhello',hello,false",
        "'HTTP/1.0 200 OK\r\nSeal: s\r\n\r\nhello',hello,false",
        "'HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello',hello,true",
        "'HTTP/1.1 204 No Content\r\nSeal: s\r\n\r\n','',true",
        "'HTTP/1.1 304 Not Modified\r\nSeal: s\r\n\r\n','',true"
    })
    void isCompleteOnlyIfItIsWhole(String response, String body, boolean framed) throws Exception {
        int headLength = response.indexOf("\r\n\r\n") + 4;
        for (boolean reset : new boolean[] {false, true}) {
            for (int length = 0; length <= response.length(); length++) {
                BodyCollector.Reply reply = call(response.substring(0, length), reset);
                String seen = "after " + length + " bytes, reset " + reset + ": " + reply;
                if (length == response.length() && framed) {
                    // A reset may overtake the bytes before it.
                    if (!reset || reply.end() instanceof CallEnd.Complete) {
                        assertWhole(reply, body, seen);
                    }
                } else if (length >= headLength && !framed && !reset) {
                    assertWhole(reply, body.substring(0, length - headLength), seen);
                } else {
                    assertInstanceOf(CallEnd.Lost.class, reply.end(), seen);
                }
            }
        }
    }

    private static void assertWhole(BodyCollector.Reply reply, String body, String seen) {
        assertInstanceOf(CallEnd.Complete.class, reply.end(), seen);
        assertEquals(body, new String(reply.body(), StandardCharsets.US_ASCII), seen);
    }

    private BodyCollector.Reply call(String response, boolean reset) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            BodyCollector collector = new BodyCollector(100);
            mConnector.send(
                    new OutgoingRequest(
                            URI.create("http://127.0.0.1:" + server.getLocalPort()),
                            "GET",
                            "/",
                            Map.of(),
                            new byte[0],
                            Duration.ofSeconds(30),
                            Optional.empty()),
                    collector);
            try (Socket socket = server.accept()) {
                int count = socket.getInputStream().read(new byte[4096]);
                assertEquals(true, count > 0);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
            }
            return collector.reply().toCompletableFuture().get(60, TimeUnit.SECONDS);
        }
    }
}
