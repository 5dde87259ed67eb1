package org.amaranthpick.server.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.util.HeaderMap;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** A call of which a step threw had no end until its time-out, which may be a minute. */
class ThrowingCallTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long END_S = 20;

    private final CompletableFuture<CallEnd> mEnd = new CompletableFuture<>();
    private XnioWorker mWorker;
    private HttpConnector mConnector;
    private Undertow mServer;

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("made to throw"), new AssertionError("made to throw"));
    }

    @BeforeEach
    void start() {
        mWorker = Workers.start();
        mConnector =
                new HttpConnector(
                        mWorker,
                        new IoThreadScheduler(mWorker.getIoThread()),
                        new ConnectorSettings(2, 2, Duration.ofSeconds(5), Duration.ZERO));
        mServer =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(exchange -> exchange.getResponseSender().send("answer"))
                        .build();
        mServer.start();
    }

    @AfterEach
    void stop() {
        mConnector.close();
        mServer.stop();
        mWorker.shutdown();
    }

    private class Listener implements ResponseListener {
        @Override
        public void onResponse(int status, HeaderMap headers) {}

        @Override
        public void onBytes(ByteBuffer bytes) {}

        @Override
        public void onEnd(CallEnd end) {
            mEnd.complete(end);
        }
    }

    private CallEnd call(Map<String, String> headers, Listener listener) throws Exception {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        mConnector.send(
                new OutgoingRequest(
                        URI.create("http://127.0.0.1:" + address.getPort()),
                        "GET",
                        "/",
                        headers,
                        new byte[0],
                        TIMEOUT,
                        Optional.empty()),
                listener);
        return mEnd.get(END_S, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatCannotBeWrittenEndsAsNotSent() throws Exception {
        CallEnd end = call(Map.of("a\nb", "c"), new Listener());
        assertTrue(assertInstanceOf(CallEnd.NotSent.class, end).reason().contains("failed"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aCallThatIsNotBegunEndsAsNotSent(Throwable failure) throws Exception {
        CallEnd end =
                call(
                        Map.of(),
                        new Listener() {
                            @Override
                            public void onSending() {
                                rethrow(failure);
                            }
                        });
        assertInstanceOf(CallEnd.NotSent.class, end);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aCallWhoseResponseHeadIsNotHandledEndsAsLost(Throwable failure) throws Exception {
        CallEnd end =
                call(
                        Map.of(),
                        new Listener() {
                            @Override
                            public void onResponse(int status, HeaderMap headers) {
                                rethrow(failure);
                            }
                        });
        assertInstanceOf(CallEnd.Lost.class, end);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aCallWhoseBytesAreNotHandledEndsAsLost(Throwable failure) throws Exception {
        CallEnd end =
                call(
                        Map.of(),
                        new Listener() {
                            @Override
                            public void onBytes(ByteBuffer bytes) {
                                rethrow(failure);
                            }
                        });
        assertInstanceOf(CallEnd.Lost.class, end);
    }

    private static void rethrow(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}
