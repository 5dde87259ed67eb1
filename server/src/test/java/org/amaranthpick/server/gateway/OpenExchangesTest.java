package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.stream.Stream;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A request that was read had no end, and the program did not notice. */
class OpenExchangesTest {
    private static final Duration LIMIT = Duration.ofMillis(300);
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    private final Invariants mInvariants = new Invariants();
    private final GatewayMetrics mMetrics = new GatewayMetrics(mInvariants);
    private XnioWorker mWorker;
    private IoThreadScheduler mScheduler;
    private OpenExchanges mOpen;
    private Undertow mListener;
    private final List<String> mFailures = new CopyOnWriteArrayList<>();

    /** What the program does with a request. */
    private interface Step {
        void run(HttpServerExchange exchange, OpenExchange open) throws IOException;
    }

    @BeforeEach
    void start() throws IOException {
        mWorker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        mScheduler = new IoThreadScheduler(mWorker.getIoThread());
        mScheduler.setOnTaskFailed(mFailures::add);
        GatewayDialect dialect =
                (GatewayDialect)
                        Proxy.newProxyInstance(
                                GatewayDialect.class.getClassLoader(),
                                new Class<?>[] {GatewayDialect.class},
                                (proxy, method, arguments) -> null);
        mOpen =
                new OpenExchanges(
                        mScheduler,
                        new GatewayResponses(dialect, new SplittableRandom(1)),
                        mInvariants,
                        new UnansweredRequests(new PlannedWork(mScheduler), mMetrics));
    }

    @AfterEach
    void stop() {
        mListener.stop();
        mWorker.shutdown();
    }

    private void listen(Step step) {
        mListener =
                Undertow.builder()
                        .setWorker(mWorker)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(
                                exchange -> {
                                    OpenExchange open = mOpen.open(exchange);
                                    open.run(() -> run(step, exchange, open));
                                })
                        .build();
        mListener.start();
    }

    private static void run(Step step, HttpServerExchange exchange, OpenExchange open) {
        try {
            step.run(exchange, open);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect((InetSocketAddress) mListener.getListenerInfo().get(0).getAddress());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String call() throws IOException {
        try (Socket socket = connect()) {
            send(socket, REQUEST);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private void awaitViolation(Invariant invariant) throws InterruptedException {
        Await.until(() -> mInvariants.violations(invariant) == 1, invariant.label());
        assertEquals(1, mInvariants.total());
    }

    private static void leave(HttpServerExchange exchange, OpenExchange open) {
        open.onRead(LIMIT);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
    }

    @Test
    void aRequestThatIsLeftAloneIsAnsweredAtItsLimit() throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    open.setAbandon(
                            reason -> {
                                open.onEnd("interrupted");
                                return true;
                            });
                });
        String answer = call();
        assertEquals("HTTP/1.1 502 Bad Gateway", answer.lines().findFirst().orElse(answer));
        awaitViolation(Invariant.EVERY_REQUEST_ENDS);
    }

    @Test
    void aRequestThatEndsWithoutAnAnswerIsAnswered() throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    open.onEnd("refused");
                });
        String answer = call();
        assertEquals("HTTP/1.1 503 Service Unavailable", answer.lines().findFirst().orElse(answer));
        awaitViolation(Invariant.EVERY_REQUEST_ENDS);
    }

    @Test
    void anAnswerWithoutARecordedEndIsNoticed() throws Exception {
        listen((exchange, open) -> exchange.endExchange());
        call();
        awaitViolation(Invariant.EVERY_REQUEST_ENDS);
    }

    @Test
    void aConnectionThatIsClosedWithoutAnEndIsNoticed() throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    IoUtils.safeClose(exchange.getConnection());
                });
        call();
        awaitViolation(Invariant.EVERY_REQUEST_ENDS);
    }

    static Stream<Arguments> errors() {
        List<Error> errors =
                List.of(
                        new StackOverflowError("made to throw"),
                        new AssertionError("made to throw"),
                        new NoClassDefFoundError("made to throw"));
        return errors.stream()
                .flatMap(e -> Stream.of(Arguments.of(e, false, 503), Arguments.of(e, true, 502)));
    }

    /** A request of which a step threw an error was forgotten until its limit. */
    @ParameterizedTest
    @MethodSource("errors")
    void aRequestWhoseStepThrowsAnErrorIsAnsweredAtOnce(Error error, boolean run, int status)
            throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    if (run) {
                        open.setAbandon(
                                reason -> {
                                    open.onEnd("interrupted");
                                    return true;
                                });
                    }
                    throw error;
                });
        String answer = call();
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(0, mInvariants.total());
        assertEquals(List.of("request"), mFailures);
    }

    @Test
    void aRequestWhoseEndThrowsAnErrorIsAnsweredAsInterrupted() throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    open.setAbandon(
                            reason -> {
                                open.onEnd("interrupted");
                                throw new AssertionError("made to throw");
                            });
                    throw new IllegalStateException("made to throw");
                });
        String answer = call();
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
        assertEquals(0, mInvariants.total());
    }

    /** No metric counted the connections that end without a whole answer. */
    @ParameterizedTest
    @EnumSource(UnansweredRequests.Reason.class)
    void anEndWithoutAWholeAnswerIsCounted(UnansweredRequests.Reason reason) throws Exception {
        listen(
                (exchange, open) -> {
                    leave(exchange, open);
                    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 100);
                    exchange.getResponseChannel().write(ByteBuffer.wrap(new byte[10]));
                    end(exchange, open, reason);
                });
        call();
        String line = "{planned=\"none\",reason=\"" + label(reason) + "\"} 1.0";
        Await.until(() -> unanswered().equals(List.of(line)), line);
    }

    private static void end(
            HttpServerExchange exchange, OpenExchange open, UnansweredRequests.Reason reason) {
        switch (reason) {
            case BROKEN, GONE -> open.onEnd(label(reason));
            case UNWRITTEN -> open.onEnd("answered");
            case FAILED -> throw new IllegalStateException("made to throw");
            default -> {}
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    private static String label(UnansweredRequests.Reason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    @ParameterizedTest
    @ValueSource(strings = {"answered", "refused", "interrupted", "rejected"})
    void aWholeAnswerIsNotCounted(String outcome) throws Exception {
        listen(
                (exchange, open) -> {
                    open.onEnd(outcome);
                    exchange.getResponseSender().send("whole");
                });
        assertTrue(call().endsWith("whole"));
        Await.until(() -> onIoThread(mOpen::count) == 0, "the end of the exchange");
        assertEquals(List.of(), unanswered());
    }

    private List<String> unanswered() {
        String name = "amaranthpick_gateway_unanswered_total";
        return mMetrics.text()
                .lines()
                .filter(line -> line.startsWith(name + "{"))
                .map(line -> line.substring(name.length()))
                .toList();
    }

    @Test
    void aSecondEndIsNoticed() throws Exception {
        listen(
                (exchange, open) -> {
                    open.onEnd("answered");
                    open.onEnd("refused");
                    exchange.endExchange();
                });
        call();
        awaitViolation(Invariant.ONE_OUTCOME);
    }

    @Test
    void requestsThatAreBeingReadAreCounted() throws Exception {
        listen(
                (exchange, open) ->
                        exchange.getRequestReceiver()
                                .receiveFullBytes(
                                        (e, body) -> {
                                            open.onEnd("answered");
                                            e.endExchange();
                                        }));
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\n");
            Await.until(() -> onIoThread(mOpen::reading) == 1, "a request that is being read");
            assertEquals(0, onIoThread(mOpen::read));
            send(socket, "body");
            socket.getInputStream().readAllBytes();
            Await.until(() -> onIoThread(mOpen::reading) == 0, "its end");
        }
        assertEquals(0, mInvariants.total());
    }

    private int onIoThread(Callable<Integer> count) {
        FutureTask<Integer> task = new FutureTask<>(count);
        mScheduler.execute(task);
        try {
            return task.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }
}
