package org.amaranthpick.server.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.standins.StoreStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

/** Conditional writes while answers, calls and connections are lost at random. */
class WritesAtRandomTest {
    private static final int WRITES = 120;
    private static final StoreSettings SETTINGS =
            new StoreSettings(
                    new ConnectorSettings(2, 8, Duration.ofSeconds(2), Duration.ofSeconds(30)),
                    Duration.ofMillis(150),
                    Duration.ofSeconds(1),
                    64 * 1024,
                    64 * 1024,
                    Optional.empty());

    private final Map<String, Long> mVersions = new HashMap<>();

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3})
    void whatIsToldOfAWriteIsTrue(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WriterTokens tokens = new WriterTokens("kenanga/host/entry-1", seed);
        XnioWorker worker = Workers.start();
        try (SystemScheduler scheduler = new SystemScheduler("test-timer");
                StoreStandIn standIn = new StoreStandIn();
                HttpObjectStore store =
                        new HttpObjectStore(standIn.address(), worker, scheduler, SETTINGS)) {
            for (int i = 0; i < WRITES; i++) {
                disturb(standIn, random);
                write(standIn, store, "k" + random.nextInt(5), tokens.next());
                standIn.restart();
            }
        } finally {
            worker.shutdownNow();
        }
    }

    private static void disturb(StoreStandIn standIn, SplittableRandom random) {
        standIn.faults().mOutage = false;
        switch (random.nextInt(10)) {
            case 0 -> standIn.faults().mLoseAnswers.set(1);
            case 1 -> standIn.faults().mDropWrites.set(1);
            case 2 -> standIn.faults().mThrottle.set(1);
            case 3 -> standIn.faults().mOutage = true;
            case 4 -> standIn.closeConnections();
            case 5 -> standIn.silenceConnections();
            case 6 -> standIn.stop();
            default -> Thread.onSpinWait();
        }
    }

    private void write(StoreStandIn standIn, HttpObjectStore store, String key, WriterToken token) {
        Long known = mVersions.get(key);
        WriteCondition condition =
                known == null ? new WriteCondition.Absent() : new WriteCondition.AtVersion(known);
        WriteResult result =
                store.write(key, condition, new byte[100], token)
                        .toCompletableFuture()
                        .orTimeout(30, TimeUnit.SECONDS)
                        .join();
        ReadResult there = standIn.objects().read(key).toCompletableFuture().join();
        boolean mine =
                there instanceof ReadResult.Found found
                        && found.object().writer().equals(Optional.of(token));
        if (result instanceof WriteResult.Applied applied) {
            assertTrue(mine, key + " said applied");
            ReadResult.Found found = (ReadResult.Found) there;
            assertEquals(found.object().version(), applied.version());
        } else if (!(result instanceof WriteResult.Unknown)) {
            assertTrue(!mine, key + " written, but " + result);
        }
        if (there instanceof ReadResult.Found found) {
            mVersions.put(key, found.object().version());
        }
    }
}
