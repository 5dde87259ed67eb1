package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** A response of which a later write threw stayed open without an end. */
class CallerResponseWriterTest {
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<String> mFailures = new CopyOnWriteArrayList<>();
    private final Invariants mInvariants = new Invariants();
    private XnioWorker mWorker;
    private OpenExchanges mOpen;
    private Undertow mListener;

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("made to throw"), new AssertionError("made to throw"));
    }

    /** Accepts nothing at first, and throws once the writer is called again. */
    private static final class ThrowingConduit
            extends AbstractStreamSinkConduit<StreamSinkConduit> {
        private final Throwable mFailure;
        private boolean mCalled;

        ThrowingConduit(StreamSinkConduit next, Throwable failure) {
            super(next);
            mFailure = failure;
        }

        @Override
        public int write(ByteBuffer bytes) throws IOException {
            if (!mCalled) {
                mCalled = true;
                return 0;
            }
            if (mFailure instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) mFailure;
        }
    }

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        IoThreadScheduler scheduler = new IoThreadScheduler(mWorker.getIoThread());
        scheduler.setOnTaskFailed(mFailures::add);
        mOpen =
                new OpenExchanges(
                        scheduler,
                        new GatewayResponses(dialect(), new SplittableRandom(1)),
                        mInvariants,
                        new UnansweredRequests(
                                new PlannedWork(scheduler), new GatewayMetrics(mInvariants)));
    }

    @AfterEach
    void stop() {
        mListener.stop();
        mWorker.shutdown();
    }

    private static GatewayDialect dialect() {
        return (GatewayDialect)
                Proxy.newProxyInstance(
                        GatewayDialect.class.getClassLoader(),
                        new Class<?>[] {GatewayDialect.class},
                        (proxy, method, arguments) -> null);
    }

    private void respond(HttpServerExchange exchange, Throwable failure) {
        OpenExchange open = mOpen.open(exchange);
        open.setAbandon(
                reason -> {
                    open.onEnd("broken");
                    return true;
                });
        exchange.addResponseWrapper(
                (factory, wrapped) -> new ThrowingConduit(factory.create(), failure));
        CallerResponseWriter writer =
                new CallerResponseWriter(exchange, dialect(), open::run, () -> {}, () -> {});
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    writer.startStream(200, new HeaderMap());
                    writer.sendChunk("event".getBytes(StandardCharsets.US_ASCII));
                });
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aResponseThatCannotBeWrittenIsBrokenOff(Throwable failure) throws Exception {
        mListener =
                Undertow.builder()
                        .setWorker(mWorker)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(exchange -> respond(exchange, failure))
                        .build();
        mListener.start();
        try (Socket socket = new Socket()) {
            socket.connect((InetSocketAddress) mListener.getListenerInfo().get(0).getAddress());
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        }
        Await.until(() -> mOpen.count() == 0, "the end of the exchange");
        assertEquals(List.of("request"), mFailures);
        assertEquals(0, mInvariants.total());
    }
}
