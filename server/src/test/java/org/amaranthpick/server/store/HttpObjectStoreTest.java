package org.amaranthpick.server.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.time.SystemScheduler;
import org.amaranthpick.standins.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.XnioWorker;

/** Calls of the store over HTTP under each failure of the store. */
class HttpObjectStoreTest {
    private static final String KEY = "amaranthpick/kenanga/clé de voûte";
    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);
    private static final int WAIT_SECONDS = 30;
    private static final StoreSettings SETTINGS =
            new StoreSettings(
                    new ConnectorSettings(4, 16, Duration.ofSeconds(5), Duration.ofSeconds(30)),
                    Duration.ofMillis(400),
                    Duration.ofMillis(1500),
                    64 * 1024,
                    64 * 1024,
                    Optional.empty());

    private final XnioWorker mWorker = Workers.start();
    private final SystemScheduler mScheduler = new SystemScheduler("test-timer");
    private final StoreStandIn mStandIn = new StoreStandIn();
    private final HttpObjectStore mStore =
            new HttpObjectStore(mStandIn.address(), mWorker, mScheduler, SETTINGS);
    private final WriterTokens mTokens = new WriterTokens("kenanga/host/entry-1", 7);

    @AfterEach
    void stop() {
        mStore.close();
        mStandIn.close();
        mScheduler.close();
        mWorker.shutdownNow();
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
    }

    private WriteResult create() {
        return await(mStore.write(KEY, new WriteCondition.Absent(), VALUE, mTokens.next()));
    }

    @Test
    void writesReadsListsAndDeletes() {
        assertInstanceOf(ReadResult.Missing.class, await(mStore.read(KEY)));
        WriterToken token = mTokens.next();
        assertEquals(
                new WriteResult.Applied(1),
                await(mStore.write(KEY, new WriteCondition.Absent(), VALUE, token)));
        assertInstanceOf(WriteResult.Conflict.class, create());
        ReadResult.Found found = assertInstanceOf(ReadResult.Found.class, await(mStore.read(KEY)));
        assertArrayEquals(VALUE, found.object().value());
        assertEquals(Optional.of(token), found.object().writer());
        ListResult.Listed listed =
                assertInstanceOf(ListResult.Listed.class, await(mStore.list("amaranthpick/")));
        assertEquals(List.of(KEY), listed.objects().stream().map(StoredObject::key).toList());
        assertEquals(1, listed.revision());
        assertInstanceOf(WriteResult.Conflict.class, await(mStore.delete(KEY, 9)));
        assertEquals(new WriteResult.Applied(2), await(mStore.delete(KEY, 1)));
    }

    static Stream<Arguments> writeFailures() {
        return Stream.of(
                write("outage", WriteResult.Unknown.class, false, s -> s.faults().mOutage = true),
                write("stopped", WriteResult.Unavailable.class, false, StoreStandIn::stop),
                write("silent", WriteResult.Unknown.class, false, s -> s.faults().mSilent = true),
                write(
                        "throttled",
                        WriteResult.Throttled.class,
                        false,
                        s -> s.faults().mThrottle.set(1)),
                write(
                        "dropped before the effect",
                        WriteResult.Unknown.class,
                        false,
                        s -> s.faults().mDropWrites.set(1)),
                write(
                        "answer lost after the effect",
                        WriteResult.Unknown.class,
                        true,
                        s -> s.faults().mLoseAnswers.set(1)));
    }

    private static Arguments write(
            String name,
            Class<? extends WriteResult> type,
            boolean takesEffect,
            Consumer<StoreStandIn> fault) {
        return Arguments.of(name, type, takesEffect, fault);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("writeFailures")
    void writeFailureGivesTrueResult(
            String name,
            Class<? extends WriteResult> type,
            boolean takesEffect,
            Consumer<StoreStandIn> fault) {
        fault.accept(mStandIn);
        assertInstanceOf(type, create(), name);
        ReadResult there = await(mStandIn.objects().read(KEY));
        assertEquals(takesEffect, there instanceof ReadResult.Found);
    }

    @Test
    void lostAnswerIsSettledByTheWriterToken() {
        mStandIn.faults().mLoseAnswers.set(1);
        WriterToken token = mTokens.next();
        WriteResult result = await(mStore.write(KEY, new WriteCondition.Absent(), VALUE, token));
        assertInstanceOf(WriteResult.Unknown.class, result);
        ReadResult.Found found = assertInstanceOf(ReadResult.Found.class, await(mStore.read(KEY)));
        assertEquals(Optional.of(token), found.object().writer());
    }

    static Stream<Arguments> readFailures() {
        return Stream.of(
                read("outage", ReadResult.Unavailable.class, s -> s.faults().mOutage = true),
                read("stopped", ReadResult.Unavailable.class, StoreStandIn::stop),
                read("silent", ReadResult.Unavailable.class, s -> s.faults().mSilent = true),
                read("throttled", ReadResult.Throttled.class, s -> s.faults().mThrottle.set(1)),
                read("stale", ReadResult.Missing.class, s -> s.faults().mStaleReads = true));
    }

    private static Arguments read(
            String name, Class<? extends ReadResult> type, Consumer<StoreStandIn> fault) {
        return Arguments.of(name, type, fault);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("readFailures")
    void readFailureGivesItsResult(
            String name, Class<? extends ReadResult> type, Consumer<StoreStandIn> fault) {
        create();
        fault.accept(mStandIn);
        assertInstanceOf(type, await(mStore.read(KEY)), name);
    }

    @Test
    void silentConnectionsAreReplaced() {
        create();
        mStandIn.silenceConnections();
        assertInstanceOf(ReadResult.Unavailable.class, await(mStore.read(KEY)));
        assertInstanceOf(ReadResult.Found.class, await(mStore.read(KEY)));
        assertEquals(1, mStore.counters().silent());
    }

    @Test
    void watchTellsChangesAndProgress() throws InterruptedException {
        create();
        Events events = new Events();
        try (Watch watch = mStore.watch("amaranthpick/", 0, events)) {
            assertNotNull(watch);
            assertEquals("written " + KEY + " 1", events.nextChange());
            await(mStore.delete(KEY, 1));
            assertEquals("deleted " + KEY + " 2", events.nextChange());
            assertEquals("progress 2", events.next("progress 2"));
        }
    }

    @Test
    void silentWatchEnds() throws InterruptedException {
        mStandIn.faults().mSilentWatches = true;
        Events events = new Events();
        try (Watch watch = mStore.watch("amaranthpick/", 0, events)) {
            assertNotNull(watch);
            assertEquals("ended no byte for 1500 ms", events.nextChange());
        }
    }

    /** Queues the events of a watch as text. */
    private static final class Events implements WatchListener {
        private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();

        String nextChange() throws InterruptedException {
            String event = poll();
            while (event.startsWith("progress")) {
                event = poll();
            }
            return event;
        }

        String next(String wanted) throws InterruptedException {
            String event = poll();
            while (!event.equals(wanted)) {
                event = poll();
            }
            return event;
        }

        private String poll() throws InterruptedException {
            String event = mEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no event came");
            }
            return event;
        }

        @Override
        public void onWritten(StoredObject object) {
            mEvents.add("written " + object.key() + " " + object.version());
        }

        @Override
        public void onDeleted(String key, long revision) {
            mEvents.add("deleted " + key + " " + revision);
        }

        @Override
        public void onProgress(long revision) {
            mEvents.add("progress " + revision);
        }

        @Override
        public void onEnded(String reason) {
            mEvents.add("ended " + reason);
        }
    }
}
