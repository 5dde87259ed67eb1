package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.amaranthpick.core.gateway.EventStreamSplitter;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Servers in trouble send bytes that are no answer as fast as the host takes them. */
class UnpacedResponseTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Bytes of a response head that a connection may take, and what the sockets hold. */
    private static final long MAX_TAKEN_BYTES = (256 + 1024) * 1024;

    /** Bytes after which a server gives up, so that the test ends. */
    private static final long MAX_SENT_BYTES = 8L << 20;

    private static final int BLOCK_BYTES = 16 * 1024;
    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int MANY = 40;

    private final List<AtomicLong> mSentBytes = new ArrayList<>();
    private final List<Thread> mServers = new ArrayList<>();
    private XnioWorker mWorker;
    private HttpConnector mConnector;
    private volatile boolean mStopped;

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        mConnector =
                new HttpConnector(
                        mWorker,
                        new IoThreadScheduler(mWorker.getIoThread()),
                        new ConnectorSettings(
                                MANY, MANY, Duration.ofSeconds(10), Duration.ofSeconds(60)));
    }

    @AfterEach
    void stop() {
        mStopped = true;
        mConnector.close();
        mWorker.shutdown();
    }

    private void serve(ServerSocket server, String start, String repeated, long maxBytes) {
        AtomicLong sent = new AtomicLong();
        byte[] block =
                repeated.repeat(BLOCK_BYTES / repeated.length())
                        .getBytes(StandardCharsets.US_ASCII);
        Thread thread =
                new Thread(
                        () -> {
                            try (Socket socket = server.accept()) {
                                if (maxBytes <= MAX_SENT_BYTES) {
                                    socket.setSendBufferSize(SEND_BUFFER_BYTES);
                                }
                                socket.getInputStream().read();
                                OutputStream out = socket.getOutputStream();
                                out.write(start.getBytes(StandardCharsets.US_ASCII));
                                while (!mStopped && sent.get() < maxBytes) {
                                    out.write(block);
                                    sent.addAndGet(block.length);
                                }
                            } catch (IOException e) {
                                // The caller closed the connection, as it should.
                            }
                        });
        thread.start();
        mServers.add(thread);
        mSentBytes.add(sent);
    }

    private static OutgoingRequest request(ServerSocket server) {
        return new OutgoingRequest(
                URI.create("http://127.0.0.1:" + server.getLocalPort()),
                "GET",
                "/",
                Map.of(),
                new byte[0],
                Duration.ofSeconds(60),
                Optional.empty());
    }

    private BodyCollector call(ServerSocket server) {
        BodyCollector collector = new BodyCollector(MAX_BODY_BYTES);
        mConnector.send(request(server), collector);
        return collector;
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, MANY, InetAddress.getLoopbackAddress());
    }

    private static BodyCollector.Reply await(BodyCollector collector) throws Exception {
        return collector.reply().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }

    static Stream<Arguments> endlessResponses() {
        return Stream.of(
                        "HTTP/1.1 200 |aaaaaaaaaaaaaaaa",
                        "|garbage without a line",
                        "HTTP/1.1 200 OK\r\nX-Noise: |aaaaaaaaaaaaaaaa",
                        "HTTP/1.1 200 OK\r\n|X-Noise: aaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                        "|HTTP/1.1 100 Continue\r\n\r\n",
                        "|HTTP/1.1 103 Early Hints\r\n\r\n",
                        CHUNKED + "|0000000000000000",
                        CHUNKED + "5;|aaaaaaaaaaaaaaaa",
                        CHUNKED + "0\r\n|X-Noise: aaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                        CHUNKED + "0\r\nX-Noise: |aaaaaaaaaaaaaaaa",
                        "HTTP/1.1 200 OK\r\n\r\n|body without a length",
                        WHOLE + "|aaaaaaaaaaaaaaaa")
                .flatMap(response -> Stream.of(1, MANY).map(n -> Arguments.of(response, n)));
    }

    @ParameterizedTest
    @MethodSource("endlessResponses")
    void noMoreThanItsBoundIsTakenOfAResponse(String response, int connections) throws Exception {
        String[] parts = response.split("\\|", -1);
        try (ServerSocket server = listen()) {
            List<BodyCollector> calls = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                serve(server, parts[0], parts[1], MAX_SENT_BYTES);
                calls.add(call(server));
            }
            for (BodyCollector call : calls) {
                BodyCollector.Reply reply = await(call);
                if (!parts[0].equals(WHOLE)) {
                    assertInstanceOf(CallEnd.Lost.class, reply.end());
                }
            }
        }
        for (Thread thread : mServers) {
            thread.join(Duration.ofSeconds(60).toMillis());
            assertFalse(thread.isAlive());
        }
        long most = mSentBytes.stream().mapToLong(AtomicLong::get).max().orElseThrow();
        long all = mSentBytes.stream().mapToLong(AtomicLong::get).sum();
        assertTrue(most <= MAX_TAKEN_BYTES, "bytes sent: " + most + ", all together " + all);
    }

    private static void awaitAbove(AtomicLong count, long minimum) {
        long endNs = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (count.get() <= minimum && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertTrue(count.get() > minimum);
    }

    /** The bytes of one server come faster than they are read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n|id: 1\ndata: a\n\n",
                CHUNKED + "|1\r\na\r\n",
                CHUNKED + "|10\r\naaaaaaaaaaaaaaaa\r\n",
                "HTTP/1.1 200 OK\r\nX-Noise: |aaaaaaaaaaaaaaaa"
            })
    void otherCallsGoOnWhileAResponseComesWithoutPause(String response) throws Exception {
        String[] parts = response.split("\\|", -1);
        try (ServerSocket server = listen();
                ServerSocket other = listen()) {
            serve(server, parts[0], parts[1], Long.MAX_VALUE);
            mConnector.send(request(server), new EventDiscarder());
            awaitAbove(mSentBytes.get(0), MAX_BODY_BYTES);
            serve(other, WHOLE, " ", 0);
            assertEquals(200, await(call(other)).status());
        }
    }

    /** Reads a stream of events of which none is new. */
    private static final class EventDiscarder implements ResponseListener {
        private final EventStreamSplitter mEvents = new EventStreamSplitter(OptionalLong.of(1));

        @Override
        public void onResponse(int status, HeaderMap headers) {}

        @Override
        public void onBytes(ByteBuffer bytes) {
            mEvents.feed(bytes);
            mEvents.dropPartial();
        }

        @Override
        public void onEnd(CallEnd end) {}
    }
}
