package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.ServiceShare;
import org.amaranthpick.core.gateway.Target;
import org.amaranthpick.core.gateway.admission.WorkClaim;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.layers.OrderOutcome;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.reach.RelayDirectory;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.time.IoThreadScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** A stream was not watched any more after one check of it had failed. */
class StallDetectorTest {
    private static final String ID = "r";
    private static final Duration TARGET_LATENCY = Duration.ofMillis(100);
    private static final UpstreamEntry ENGINE =
            new UpstreamEntry(
                    "e",
                    "llm",
                    "127.0.0.1:1",
                    "z",
                    false,
                    1,
                    Optional.empty(),
                    Optional.empty(),
                    1,
                    0);

    private final XnioWorker mWorker = Workers.start();
    private final IoThreadScheduler mScheduler = new IoThreadScheduler(mWorker.getIoThread());
    private final UpstreamRegister mRegister = new UpstreamRegister();
    private final List<String> mFailures = new CopyOnWriteArrayList<>();
    private final List<String> mStalls = new CopyOnWriteArrayList<>();

    /** Returns what the first query of the engine comes to. */
    static Stream<Supplier<CompletionStage<EngineReport>>> failures() {
        return Stream.of(
                () -> {
                    throw new IllegalStateException("made to throw");
                },
                () -> {
                    throw new AssertionError("made to throw");
                },
                () -> CompletableFuture.failedFuture(new IllegalStateException("made to fail")),
                () -> CompletableFuture.completedFuture(null));
    }

    /** The first query fails, the following ones show that the stream waits for its engine. */
    private static EngineControl control(Supplier<CompletionStage<EngineReport>> first) {
        EngineReport stalled =
                new EngineReport.Present(1, 0, 1, 0, 1, Map.of(ID, List.of(ENGINE.address())));
        return new EngineControl() {
            private boolean mQueried;

            @Override
            public CompletionStage<OrderOutcome> sendOrder(
                    UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
                if (mQueried) {
                    return CompletableFuture.completedFuture(stalled);
                }
                mQueried = true;
                return first.get();
            }
        };
    }

    private GatewayContext context(EngineControl engines) {
        UpstreamPaths paths = new UpstreamPaths();
        UpstreamConnector connector =
                new UpstreamConnector(
                        null,
                        null,
                        paths,
                        new RelayDirectory(List::of, new SplittableRandom(1)),
                        null,
                        null,
                        null,
                        mScheduler,
                        null);
        return new GatewayContext(
                "h",
                mScheduler,
                null,
                connector,
                paths,
                mRegister,
                null,
                null,
                null,
                null,
                null,
                engines,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null);
    }

    private static ForwardedRequest request() {
        GatewayRoute route =
                new GatewayRoute(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        true,
                        Duration.ofSeconds(60),
                        TARGET_LATENCY,
                        Optional.of(TARGET_LATENCY),
                        0,
                        List.of(new ServiceShare("llm", 1)),
                        2,
                        false);
        return new ForwardedRequest(
                new CallerRequestMetadata(
                        ID,
                        Optional.empty(),
                        Optional.empty(),
                        OptionalLong.empty(),
                        List.of(),
                        WorkClaim.NONE),
                "POST",
                "/",
                new HeaderMap(),
                new byte[0],
                route,
                new GatewayService("llm", 100, Optional.empty()),
                Optional.empty(),
                0,
                1,
                "",
                0);
    }

    @AfterEach
    void stop() {
        mWorker.shutdown();
    }

    @ParameterizedTest
    @MethodSource("failures")
    void aStreamIsCheckedAgainAfterACheckFailed(Supplier<CompletionStage<EngineReport>> first)
            throws Exception {
        mScheduler.setOnTaskFailed(mFailures::add);
        mRegister.put(ENGINE);
        GatewayContext context = context(control(first));
        ForwardedRequest request = request();
        StallDetector detector =
                new StallDetector(
                        request, context, (attempt, engines, reason) -> mStalls.add(reason));
        Target target = new Target(ENGINE, Optional.of(new EngineChain(List.of(), 1, 1)));
        ForwardAttempt attempt =
                new ForwardAttempt(
                        null,
                        null,
                        request,
                        context,
                        target,
                        null,
                        Map.of(),
                        Duration.ofSeconds(60));
        mScheduler.execute(() -> detector.onAttempt(attempt));
        Await.until(() -> !mStalls.isEmpty(), "a stall that is noticed");
        assertEquals(List.of("stalled at [127.0.0.1:1]"), mStalls);
        assertEquals(List.of("stall check"), mFailures);
    }
}
