package org.amaranthpick.server.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.upstream.CacheEvent;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.amaranthpick.server.EngineChain;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.standins.ExpectedText;
import org.amaranthpick.standins.LayerRun;
import org.amaranthpick.standins.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

/** Service calls, status, orders, cache events, and connections that break. */
class HttpUpstreamCallsTest {
    private static final int WAIT_SECONDS = 30;
    private static final String ORDER_TOKEN = "order-token";
    private static final UpstreamSettings SETTINGS =
            new UpstreamSettings(
                    new ConnectorSettings(4, 4, Duration.ofSeconds(5), Duration.ofSeconds(30)),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(400),
                    Duration.ofMillis(400),
                    1024,
                    64 * 1024,
                    Optional.of(ORDER_TOKEN));

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");
    private final EngineChain mEngines = new EngineChain();
    private final ServiceStandIn mService = new ServiceStandIn();
    private final HttpUpstreamClient mClient =
            new HttpUpstreamClient(mWorker, mScheduler, SETTINGS);

    @AfterEach
    void stop() {
        mClient.close();
        mEngines.close();
        mService.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
    }

    private UpstreamSpec service() {
        return EngineChain.upstream("desk", UpstreamSpec.Role.SERVICE, mService.address());
    }

    private UpstreamSpec engine() {
        return mEngines.configuration()
                .upstream(EngineChain.id(ResourceKind.UPSTREAM, "first"))
                .orElseThrow();
    }

    private ServiceReply post(String key) {
        return await(
                mClient.call(
                        service(),
                        new ServiceCall(
                                "r1",
                                EngineChain.id(ResourceKind.WORKSPACE, "desk"),
                                "POST",
                                "/checkouts?camera=7",
                                Map.of(
                                        "Idempotency-Key",
                                        key,
                                        "Content-Type",
                                        "text/plain",
                                        "Connection",
                                        "close, x-evil"),
                                "camera 7".getBytes(UTF_8))));
    }

    @Test
    void serviceAnswerIsPassedBack() {
        ServiceReply.Answered answer = assertInstanceOf(ServiceReply.Answered.class, post("k1"));
        assertEquals(200, answer.status());
        assertArrayEquals("camera 7".getBytes(UTF_8), answer.body());
        assertEquals("/checkouts?camera=7", answer.headers().get("Location"));
        assertEquals(1, mService.runs("k1"));
    }

    static Stream<Arguments> serviceFailures() {
        return Stream.of(
                service("dead", ServiceReply.NotSent.class, 0, ServiceStandIn::die),
                service("drops unrun", ServiceReply.Lost.class, 0, s -> s.mDropUnrun = true),
                service("loses the answer", ServiceReply.Lost.class, 1, s -> s.mDropAnswer = true),
                service("silent", ServiceReply.Lost.class, 1, s -> s.mSilent = true),
                service("unavailable", ServiceReply.Answered.class, 0, s -> s.mUnavailable = true));
    }

    private static Arguments service(
            String name,
            Class<? extends ServiceReply> type,
            int runs,
            Consumer<ServiceStandIn> fault) {
        return Arguments.of(name, type, runs, fault);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("serviceFailures")
    void serviceFailureGivesTrueReplyAndRunsAtMostOnce(
            String name,
            Class<? extends ServiceReply> type,
            int runs,
            Consumer<ServiceStandIn> fault) {
        post("warm");
        fault.accept(mService);
        assertInstanceOf(type, post("k1"), name);
        assertEquals(runs, mService.runs("k1"));
    }

    @Test
    void statusTellsHoldingsAndBoot() {
        UpstreamStatus status = await(mClient.status(engine())).orElseThrow();
        assertEquals(mEngines.first().holdings(), status.holdings());
        assertEquals(Optional.empty(), status.fence());
        mEngines.first().die();
        assertEquals(Optional.empty(), await(mClient.status(engine())));
        mEngines.first().revive();
        UpstreamStatus again = await(mClient.status(engine())).orElseThrow();
        assertTrue(!again.bootId().equals(status.bootId()));
    }

    private UpstreamOrder order(long fence, long sequence, int toLayer) {
        Identity model = EngineChain.id(ResourceKind.MODEL_VERSION, "planner-1");
        return new UpstreamOrder(
                "kenanga/domain/kl-a",
                fence,
                sequence,
                "kenanga/host/entry-1",
                List.of(new UpstreamSpec.Holding(model, new LayerRange(0, toLayer), List.of())));
    }

    @Test
    void orderIsTakenAndOldFenceRefused() {
        assertInstanceOf(OrderReply.Accepted.class, await(mClient.order(engine(), order(5, 1, 2))));
        assertEquals(2, mEngines.first().holdings().get(0).layers().to());
        assertEquals(new OrderReply.Fenced(5), await(mClient.order(engine(), order(4, 9, 4))));
        assertEquals(2, mEngines.first().holdings().get(0).layers().to());
        assertEquals(Optional.of(5L), await(mClient.status(engine())).orElseThrow().fence());
    }

    @ParameterizedTest(name = "engine checks the orderer: {0}")
    @ValueSource(booleans = {true, false})
    void orderTokenGoesOnlyToEnginesThatCheck(boolean checks) {
        mEngines.first().requireOrderToken(ORDER_TOKEN);
        UpstreamSpec e = engine();
        UpstreamSpec spec =
                new UpstreamSpec(
                        e.id(),
                        e.role(),
                        e.domain(),
                        e.host(),
                        e.address(),
                        e.accelerator(),
                        true,
                        checks,
                        e.initialHoldings());
        OrderReply reply = await(mClient.order(spec, order(1, 1, 2)));
        assertEquals(checks, reply instanceof OrderReply.Accepted);
        assertEquals(!checks, reply instanceof OrderReply.Refused);
    }

    @Test
    void unansweredOrderIsUnknown() {
        mEngines.first().faults().mSilent = true;
        assertInstanceOf(OrderReply.Unknown.class, await(mClient.order(engine(), order(1, 1, 2))));
    }

    @Test
    void cacheEventsContinueAfterSequenceAndEndIsTold() throws Exception {
        mEngines.first().tellCacheEvent(true, List.of(1L, 2L));
        mEngines.first().tellCacheEvent(false, List.of(1L));
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        CacheEventListener listener =
                new CacheEventListener() {
                    @Override
                    public void onEvent(CacheEvent event) {
                        events.add(event.sequence() + " " + event.stored() + event.blockHashes());
                    }

                    @Override
                    public void onEnded(String reason) {
                        events.add("ended");
                    }
                };
        try (AutoCloseable subscription = mClient.cacheEvents(engine(), 1, listener)) {
            assertTrue(subscription != null);
            assertEquals("2 false[1]", events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
            mEngines.first().tellCacheEvent(true, List.of(-3L));
            assertEquals("3 true[-3]", events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
            mEngines.first().die();
            assertEquals("ended", events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private StreamEnd generate(String requestId) throws InterruptedException {
        RecordingListener listener = new RecordingListener();
        mClient.generate(
                mEngines.configuration(), EngineChain.call(requestId, 1, List.of()), listener);
        return listener.await();
    }

    @Test
    void connectionsClosedBetweenCallsCauseNoHiddenSecondRun() throws InterruptedException {
        for (int i = 0; i < 60; i++) {
            StreamEnd end = generate("r" + i);
            boolean expected =
                    end instanceof StreamEnd.Finished || end instanceof StreamEnd.StageLost;
            assertTrue(expected, end.toString());
            mEngines.first().closeConnections();
        }
        Set<LayerRun> once = new HashSet<>(mEngines.second().runs());
        assertEquals(once.size(), mEngines.second().runs().size());
    }

    @Test
    void silentPooledConnectionLosesOneStreamOnly() throws InterruptedException {
        assertInstanceOf(StreamEnd.Finished.class, generate("r1"));
        awaitPooledConnection();
        mEngines.first().silenceConnections();
        StreamEnd.StageLost lost = assertInstanceOf(StreamEnd.StageLost.class, generate("r2"));
        assertEquals(1, mClient.counters().reused());
        assertTrue(lost.reason().contains("no byte"), lost.reason());
        assertInstanceOf(StreamEnd.Finished.class, generate("r3"));
        assertEquals(0, mClient.counters().failed());
    }

    /** A stream is told as finished with its last frame, before its response has ended. */
    private void awaitPooledConnection() throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (mClient.counters().released() == 0 && System.nanoTime() < untilNs) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertEquals(1, mClient.counters().released());
    }

    @Test
    void pausedStreamIsNotTakenForSilentAndResumes() throws InterruptedException {
        mEngines.first().faults().mSlow = Duration.ofMillis(20);
        RecordingListener listener = new RecordingListener();
        UpstreamStream stream =
                mClient.generate(
                        mEngines.configuration(), EngineChain.call("r1", 1, List.of()), listener);
        listener.awaitFirstToken();
        stream.pause();
        mScheduler.schedule(SETTINGS.streamSilence().multipliedBy(2), stream::resume);
        assertInstanceOf(StreamEnd.Finished.class, listener.await());
        assertEquals(EngineChain.answer(), listener.texts());
    }

    @Test
    void largePromptAndLongAnswerComeWhole() throws InterruptedException {
        GenerateCall small = EngineChain.call("r1", 1, List.of());
        String prompt = "é plan ".repeat(300_000);
        int tokens = 5000;
        GenerateCall large =
                new GenerateCall(
                        small.requestId(),
                        1,
                        small.workspace(),
                        small.chain(),
                        Optional.empty(),
                        prompt,
                        List.of(),
                        tokens,
                        5,
                        Optional.empty());
        RecordingListener listener = new RecordingListener();
        mClient.generate(mEngines.configuration(), large, listener);
        assertEquals(new StreamEnd.Finished("length", tokens), listener.await());
        String model = small.chain().modelVersion().key();
        assertEquals(
                ExpectedText.answer(model, "", prompt, tokens), String.join("", listener.texts()));
    }

    @Test
    void fullPoolQueuesThenRefusesWithoutSending() throws InterruptedException {
        mEngines.first().faults().mSilentAfterTokens = 0;
        RecordingListener[] listeners = new RecordingListener[12];
        for (int i = 0; i < listeners.length; i++) {
            listeners[i] = new RecordingListener();
            mClient.generate(
                    mEngines.configuration(),
                    EngineChain.call("r" + i, 1, List.of()),
                    listeners[i]);
        }
        int notSent = 0;
        for (RecordingListener listener : listeners) {
            notSent += listener.await() instanceof StreamEnd.NotSent ? 1 : 0;
        }
        assertEquals(4, notSent);
    }
}
