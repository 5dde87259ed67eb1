package org.amaranthpick.server.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.amaranthpick.server.Await;
import org.amaranthpick.server.EngineChain;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.standins.EngineStandIn;
import org.amaranthpick.standins.LayerRun;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** Token streams over HTTP under each failure of an engine. */
class HttpUpstreamClientTest {
    private static final UpstreamSettings SETTINGS =
            new UpstreamSettings(
                    new ConnectorSettings(4, 4, Duration.ofSeconds(5), Duration.ofSeconds(30)),
                    Duration.ofMillis(400),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    1024,
                    64 * 1024,
                    Optional.of("order-token"));

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");
    private final EngineChain mEngines = new EngineChain();
    private final HttpUpstreamClient mClient =
            new HttpUpstreamClient(mWorker, mScheduler, SETTINGS);

    @AfterEach
    void stop() {
        mClient.close();
        mEngines.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    private RecordingListener run(String requestId) throws InterruptedException {
        RecordingListener listener = new RecordingListener();
        mClient.generate(
                mEngines.configuration(), EngineChain.call(requestId, 1, List.of()), listener);
        listener.await();
        return listener;
    }

    @Test
    void wholeAnswerRunsEveryLayerOnceInOrder() throws InterruptedException {
        RecordingListener listener = run("r1");
        assertEquals(new StreamEnd.Finished("length", EngineChain.TOKENS), listener.await());
        assertEquals(EngineChain.answer(), listener.texts());
        assertEquals(1, listener.sendingTold());
        List<LayerRange> trace = List.of(new LayerRange(0, 4), new LayerRange(4, 8));
        listener.frames().forEach(frame -> assertEquals(trace, frame.trace()));
        List<LayerRun> upper = mEngines.second().runs();
        assertEquals(List.of(0, 1, 2, 3, 4), upper.stream().map(LayerRun::index).toList());
    }

    @Test
    void resumedAnswerContinuesAfterEmittedTokens() throws InterruptedException {
        RecordingListener listener = new RecordingListener();
        mClient.generate(
                mEngines.configuration(),
                EngineChain.call("r1", 2, EngineChain.answer().subList(0, 3)),
                listener);
        listener.await();
        assertEquals(EngineChain.answer().subList(3, 5), listener.texts());
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                failure(
                        "refuses",
                        StreamEnd.Refused.class,
                        "first",
                        e -> e.faults().mRefuse = true),
                failure("leaves", StreamEnd.Refused.class, "first", e -> e.setLeaving(true)),
                failure("is dead", StreamEnd.NotSent.class, "first", EngineStandIn::die),
                failure(
                        "drops",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mDropUnrun = true),
                failure(
                        "runs and drops",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mRunThenDrop = true),
                failure(
                        "is silent",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mSilent = true),
                failure(
                        "goes silent",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mSilentAfterTokens = 2),
                failure(
                        "drops midway",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mDropAfterTokens = 2),
                failure(
                        "loses the next stage",
                        StreamEnd.StageLost.class,
                        "second",
                        e -> e.faults().mLoseNextAfterTokens = 2),
                failure(
                        "loses the next stage at once",
                        StreamEnd.StageLost.class,
                        "second",
                        e -> e.faults().mLoseNextAfterTokens = 0),
                failure(
                        "cuts off",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mTruncate = true),
                failure(
                        "sends garbage",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mGarbage = true),
                failure(
                        "errs",
                        StreamEnd.StageLost.class,
                        "first",
                        e -> e.faults().mServerError = true));
    }

    private static Arguments failure(
            String name, Class<? extends StreamEnd> end, String at, Consumer<EngineStandIn> fault) {
        return Arguments.of(name, end, at, fault);
    }

    @ParameterizedTest(name = "first stage {0}")
    @MethodSource("failures")
    void failureGivesTrueEnd(
            String name, Class<? extends StreamEnd> type, String at, Consumer<EngineStandIn> fault)
            throws InterruptedException {
        fault.accept(mEngines.first());
        RecordingListener listener = run("r1");
        StreamEnd end = listener.await();
        assertInstanceOf(type, end, name);
        assertEquals(1, listener.endsTold());
        assertTrue(end.toString().contains("kenanga/upstream/" + at), end.toString());
        boolean saidNotRun = end instanceof StreamEnd.NotSent || end instanceof StreamEnd.Refused;
        assertFalse(saidNotRun && mEngines.ran("r1"), "said not run, and ran");
        assertEquals(EngineChain.answer().subList(0, listener.texts().size()), listener.texts());
    }

    @Test
    void laterStageRefusalIsToldBeforeAnythingRuns() throws InterruptedException {
        mEngines.second().faults().mRefuse = true;
        StreamEnd end = run("r1").await();
        StreamEnd.Refused refused = assertInstanceOf(StreamEnd.Refused.class, end);
        assertEquals("second", refused.upstream().name());
        assertFalse(mEngines.ran("r1"));
    }

    @Test
    void cancelStopsEveryStageAndEndsTheStream() throws InterruptedException {
        mEngines.first().faults().mSlow = Duration.ofMillis(50);
        RecordingListener listener = new RecordingListener();
        UpstreamStream stream =
                mClient.generate(
                        mEngines.configuration(), EngineChain.call("r1", 1, List.of()), listener);
        listener.awaitFirstToken();
        stream.cancel();
        assertInstanceOf(StreamEnd.StageLost.class, listener.await());
        Await.until(() -> mEngines.second().isCancelled("r1", 1), "cancel at the second stage");
    }

    @Test
    void deathOfLaterStageMidAnswerNamesIt() throws InterruptedException {
        mEngines.first().faults().mSlow = Duration.ofMillis(50);
        RecordingListener listener = new RecordingListener();
        mClient.generate(mEngines.configuration(), EngineChain.call("r1", 1, List.of()), listener);
        listener.awaitFirstToken();
        mEngines.second().die();
        StreamEnd.StageLost lost = assertInstanceOf(StreamEnd.StageLost.class, listener.await());
        assertEquals("second", lost.upstream().name());
        assertTrue(listener.texts().size() < EngineChain.TOKENS);
    }

    @Test
    void connectionIsReused() throws InterruptedException {
        run("r1");
        Await.until(() -> mClient.counters().released() == 1, "the connection given back");
        run("r2");
        assertEquals(1, mClient.counters().opened());
        assertEquals(1, mClient.counters().reused());
    }

    @Test
    void restartedEngineIsReachedOnFreshConnection() throws InterruptedException {
        run("r1");
        mEngines.first().die();
        mEngines.first().revive();
        assertInstanceOf(StreamEnd.Finished.class, run("r2").await());
    }
}
