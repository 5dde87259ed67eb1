package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.reach.RelayDirectory;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.RequestRateLimits;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** A request whose search for a path threw was forgotten until its deadline. */
class PathSearchFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long END_S = 20;

    private final List<String> mFailures = new CopyOnWriteArrayList<>();
    private XnioWorker mWorker;
    private IoThreadScheduler mScheduler;
    private HttpConnector mHttp;

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("made to throw"), new AssertionError("made to throw"));
    }

    @BeforeEach
    void start() {
        mWorker = Workers.start();
        mScheduler = new IoThreadScheduler(mWorker.getIoThread());
        mScheduler.setOnTaskFailed(mFailures::add);
        mHttp =
                new HttpConnector(
                        mWorker,
                        mScheduler,
                        new ConnectorSettings(2, 2, Duration.ofSeconds(5), Duration.ZERO));
    }

    @AfterEach
    void stop() {
        mHttp.close();
        mWorker.shutdown();
    }

    private UpstreamConnector connector(Throwable failure) {
        GatewayDialect dialect =
                (GatewayDialect)
                        Proxy.newProxyInstance(
                                GatewayDialect.class.getClassLoader(),
                                new Class<?>[] {GatewayDialect.class},
                                (proxy, method, arguments) -> null);
        return new UpstreamConnector(
                mHttp,
                mHttp,
                new UpstreamPaths(),
                new RelayDirectory(() -> rethrow(failure), new SplittableRandom(1)),
                new UpstreamHealth(),
                new UpstreamAdmission(
                        new RequestRateLimits(
                                "", List::of, () -> 1, id -> true, new SplittableRandom(1))),
                dialect,
                mScheduler,
                new GatewayMetrics(new Invariants()));
    }

    private static List<String> rethrow(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aCallWhoseSearchThrowsEndsAsNotSent(Throwable failure) throws Exception {
        String address = "127.0.0.1:" + closedPort();
        UpstreamEntry upstream =
                new UpstreamEntry(
                        "u",
                        "app",
                        address,
                        "z",
                        false,
                        1,
                        Optional.empty(),
                        Optional.empty(),
                        1,
                        0);
        OutgoingRequest request =
                new OutgoingRequest(
                        URI.create("http://" + address),
                        "GET",
                        "/",
                        Map.of(),
                        new byte[0],
                        TIMEOUT,
                        Optional.empty());
        BodyCollector collector = new BodyCollector(100);
        connector(failure).prepare(upstream, request, collector).start();
        CallEnd end = collector.reply().toCompletableFuture().get(END_S, TimeUnit.SECONDS).end();
        assertInstanceOf(CallEnd.NotSent.class, end);
        Await.until(() -> !mFailures.isEmpty(), "a counted failure");
        assertEquals("path", mFailures.get(0));
    }

    private static int closedPort() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return server.getLocalPort();
        }
    }
}
