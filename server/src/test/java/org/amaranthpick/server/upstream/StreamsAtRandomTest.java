package org.amaranthpick.server.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.amaranthpick.server.EngineChain;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.standins.EngineFaults;
import org.amaranthpick.standins.EngineStandIn;
import org.amaranthpick.standins.LayerRun;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

/** Many streams at once while connections, engines and streams fail at random. */
class StreamsAtRandomTest {
    private static final int ROUNDS = 25;
    private static final int STREAMS = 8;
    private static final UpstreamSettings SETTINGS =
            new UpstreamSettings(
                    new ConnectorSettings(6, 2, Duration.ofSeconds(1), Duration.ofSeconds(30)),
                    Duration.ofMillis(150),
                    Duration.ofMillis(150),
                    Duration.ofMillis(150),
                    1024,
                    64 * 1024,
                    Optional.empty());

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4})
    void whatIsToldIsTrue(long seed) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        XnioWorker worker = Workers.start();
        try (SystemScheduler scheduler = new SystemScheduler("test-timer");
                EngineChain engines = new EngineChain();
                HttpUpstreamClient client = new HttpUpstreamClient(worker, scheduler, SETTINGS)) {
            List<String> notRun = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                setFaults(engines.first().faults(), random);
                runRound(engines, client, random, "r" + round + "-", notRun);
            }
            notRun.forEach(id -> assertFalse(engines.ran(id), id + " ran late"));
            assertNoLayerRanTwice(engines.first());
            assertNoLayerRanTwice(engines.second());
        } finally {
            worker.shutdownNow();
        }
    }

    private static void runRound(
            EngineChain engines,
            HttpUpstreamClient client,
            SplittableRandom random,
            String prefix,
            List<String> notRun)
            throws InterruptedException {
        List<RecordingListener> listeners = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            RecordingListener listener = new RecordingListener();
            listeners.add(listener);
            UpstreamStream stream =
                    client.generate(
                            engines.configuration(),
                            EngineChain.call(prefix + i, 1, List.of()),
                            listener);
            disturb(engines.first(), stream, random);
        }
        for (int i = 0; i < STREAMS; i++) {
            if (check(engines, prefix + i, listeners.get(i))) {
                notRun.add(prefix + i);
            }
        }
        engines.first().revive();
    }

    private static void setFaults(EngineFaults faults, SplittableRandom random) {
        int fault = random.nextInt(9);
        faults.mRefuse = fault == 0;
        faults.mDropUnrun = fault == 1;
        faults.mRunThenDrop = fault == 2;
        faults.mDropAfterTokens = fault == 3 ? random.nextInt(4) : -1;
        faults.mSilentAfterTokens = fault == 4 ? random.nextInt(4) : -1;
        faults.mLoseNextAfterTokens = fault == 5 ? random.nextInt(4) : -1;
        faults.mTruncate = fault == 6;
    }

    private static void disturb(
            EngineStandIn engine, UpstreamStream stream, SplittableRandom random) {
        switch (random.nextInt(16)) {
            case 0 -> engine.closeConnections();
            case 1 -> engine.silenceConnections();
            case 2 -> engine.die();
            case 3 -> engine.revive();
            case 4 -> stream.cancel();
            case 5 -> {
                stream.pause();
                stream.resume();
            }
            default -> Thread.onSpinWait();
        }
    }

    /** Checks one stream; true if it was said not to have run. */
    private static boolean check(EngineChain engines, String requestId, RecordingListener listener)
            throws InterruptedException {
        StreamEnd end = listener.await();
        boolean notRun = end instanceof StreamEnd.NotSent || end instanceof StreamEnd.Refused;
        if (notRun) {
            assertFalse(engines.ran(requestId), requestId + " ran, but " + end);
            assertEquals(List.of(), listener.texts());
        }
        List<String> texts = listener.texts();
        assertEquals(EngineChain.answer().subList(0, texts.size()), texts);
        if (end instanceof StreamEnd.Finished) {
            assertEquals(EngineChain.TOKENS, texts.size());
        }
        assertEquals(1, listener.endsTold());
        assertTrue(listener.sendingTold() <= 1);
        assertTrue(listener.sendingTold() == 1 || !engines.ran(requestId), "ran before sending");
        return notRun;
    }

    private static void assertNoLayerRanTwice(EngineStandIn engine) {
        List<LayerRun> runs = engine.runs();
        assertEquals(new HashSet<>(runs).size(), runs.size());
    }
}
