package org.amaranthpick.core.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.layers.ChainStage;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.layers.EngineControl;
import org.amaranthpick.core.layers.EngineReport;
import org.amaranthpick.core.layers.OrderOutcome;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.DutyRanking;
import org.amaranthpick.core.register.PeerDaemon;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of two failure domains, each with engines that its daemons observe together. */
class RoomObserverTest {
    private static final int ENGINES = 80;
    private static final LayerRange LAYERS = new LayerRange(0, 80);
    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration TWO_PERIODS = Duration.ofSeconds(4);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final List<UpstreamEntry> mEngines = new ArrayList<>();
    private final List<PeerDaemon> mDaemons = new ArrayList<>();
    private final Map<String, RoomObserver> mObservers = new LinkedHashMap<>();
    private final Map<String, ReportedRoom> mRooms = new LinkedHashMap<>();
    private final Set<String> mDead = new HashSet<>();
    private final Set<String> mDuties = new HashSet<>();
    private int mUsedPercent;
    private int mQueries;
    private int mMessages;

    private final EngineControl mControl =
            new EngineControl() {
                @Override
                public CompletionStage<OrderOutcome> sendOrder(
                        UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
                    throw new UnsupportedOperationException("no orders are sent here");
                }

                @Override
                public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
                    mQueries++;
                    return CompletableFuture.completedFuture(
                            new EngineReport.Present(0, 0, 0, mUsedPercent, 100, Map.of()));
                }
            };

    private void start(int daemons) {
        for (int i = 0; i < daemons; i++) {
            mDaemons.add(new PeerDaemon("10.0.0." + i + ":1", "domain-" + i % 2));
        }
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(
                    new UpstreamEntry(
                            "engine-" + i,
                            "llm",
                            "10.1.0." + i + ":1",
                            "domain-" + i % 2,
                            false,
                            10,
                            Optional.empty(),
                            Optional.of(LAYERS),
                            1,
                            1));
        }
        mDaemons.forEach(this::start);
    }

    private void start(PeerDaemon self) {
        List<PeerDaemon> others = mDaemons.stream().filter(peer -> !peer.equals(self)).toList();
        ReportedRoom room = new ReportedRoom();
        mRooms.put(self.address(), room);
        mObservers.put(
                self.address(),
                new RoomObserver(
                        new RoomObserver.Member(
                                self.address(),
                                self.domain(),
                                () -> others,
                                new SplittableRandom(self.address().hashCode())),
                        () -> mEngines,
                        mControl,
                        room,
                        this::send,
                        mScheduler,
                        Runnable::run));
    }

    private void send(String address, RoomNews news) {
        mMessages++;
        mDuties.add(news.duty());
        mScheduler.schedule(
                Duration.ofMillis(2),
                () -> {
                    if (!mDead.contains(address)) {
                        mObservers.get(address).onNews(news);
                    }
                });
    }

    private void run(Duration time) {
        for (long ms = 0; ms < time.toMillis(); ms += STEP.toMillis()) {
            mObservers.forEach(
                    (address, observer) -> {
                        if (!mDead.contains(address)) {
                            observer.step();
                        }
                    });
            mScheduler.advance(STEP);
        }
    }

    /** Returns the mean part of the engines whose loads the living daemons know. */
    private double knownPart() {
        return mRooms.entrySet().stream()
                .filter(entry -> !mDead.contains(entry.getKey()))
                .flatMap(entry -> mEngines.stream().map(e -> isKnown(entry.getValue(), e)))
                .mapToInt(known -> known ? 1 : 0)
                .average()
                .orElseThrow();
    }

    private boolean isKnown(ReportedRoom room, UpstreamEntry engine) {
        EngineChain chain = new EngineChain(List.of(new ChainStage(engine, LAYERS, 100)), 1, 100);
        return room.fill(chain, mScheduler.monotonicNs()).isPresent();
    }

    @ParameterizedTest
    @ValueSource(ints = {30, 100, 440})
    void allDaemonsKnowLoadedEngines(int daemons) {
        start(daemons);
        run(TWO_PERIODS);
        mUsedPercent = 90;
        run(TWO_PERIODS);
        assertEquals(1, knownPart());
    }

    /** Queries are priced, and messages cost small hosts processor time. */
    @ParameterizedTest
    @ValueSource(ints = {30, 440})
    void aCalmFleetSendsAFewMessagesAndOneQueryInTwoSecondsForEachEngine(int daemons) {
        start(daemons);
        run(TWO_PERIODS);
        mQueries = 0;
        mMessages = 0;
        run(Duration.ofSeconds(10));
        assertEquals(5 * ENGINES, mQueries);
        assertTrue(mMessages <= 5 * 2 * mDuties.size(), () -> mMessages + " messages");
    }

    @Test
    void aSmallFleetObservesNothing() {
        start(12);
        mUsedPercent = 90;
        run(TWO_PERIODS);
        assertEquals(0, mQueries);
    }

    /** All daemons that observe engines die at once, as when half of a fleet loses power. */
    @ParameterizedTest
    @ValueSource(ints = {30, 440})
    void othersTakeOverWhenTheObserversDie(int daemons) {
        start(daemons);
        mUsedPercent = 90;
        run(TWO_PERIODS);
        for (String duty : mDuties) {
            List<String> candidates =
                    mDaemons.stream()
                            .filter(daemon -> duty.contains("/" + daemon.domain() + "/"))
                            .map(PeerDaemon::address)
                            .toList();
            mDead.add(DutyRanking.rank(duty, candidates).get(0));
        }
        run(ObservationDuties.TAKEOVER_TIME.plus(TWO_PERIODS));
        // Part of the news goes over daemons that are dead; the next news takes other paths.
        assertTrue(knownPart() > 0.9, () -> "known after the takeover: " + knownPart());
    }
}
