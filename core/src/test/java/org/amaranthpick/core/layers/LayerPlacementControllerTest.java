package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.gateway.GatewayLimits;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.placement.LeaseContext;
import org.amaranthpick.core.placement.LeaseManager;
import org.amaranthpick.core.placement.PlacementSettings;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LayerPlacementControllerTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final UpstreamRegister mRegister = new UpstreamRegister();
    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final FakeEngines mEngines = new FakeEngines();
    private final LeaseManager mLease =
            new LeaseManager(
                    "layers",
                    new LeaseContext(
                            new MemoryObjectStore(),
                            mScheduler,
                            new WriterTokens("h", 1),
                            (kind, subject, text) -> {},
                            new Invariants(),
                            new SplittableRandom(5),
                            PlacementSettings.defaults(),
                            "h"),
                    this,
                    () -> 0);
    private final LayerPlacementController mController = newController();

    private LayerPlacementController newController() {
        return new LayerPlacementController(
                () -> Optional.of(configuration()),
                mRegister,
                mHealth,
                mEngines,
                mLease,
                mScheduler,
                Runnable::run);
    }

    private static GatewayConfiguration configuration() {
        GatewayService service = new GatewayService("llm", 10, Optional.of(LayerFixture.model()));
        return new GatewayConfiguration(
                1,
                List.of(),
                Map.of("llm", service),
                Map.of(),
                false,
                new GatewayLimits(1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
    }

    private void run(Duration time) {
        for (long ms = 0; ms < time.toMillis(); ms += 250) {
            mLease.step(Optional.of(0));
            mController.step();
            mScheduler.advance(Duration.ofMillis(250));
        }
    }

    private void register(Map<String, LayerRange> layers) {
        for (UpstreamEntry entry : LayerFixture.toEntries(LayerFixture.emptyEngines())) {
            mRegister.put(entry.withLayers(Optional.ofNullable(layers.get(entry.id()))));
        }
    }

    @Test
    void noOrderIsSentWithoutTheLease() {
        register(Map.of());
        for (int i = 0; i < 10; i++) {
            mController.step();
        }
        assertEquals(List.of(), mEngines.mOrders);
    }

    @Test
    void everyEngineGetsOneOrderAndNoMoreOnceItHoldsItsLayers() {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        int orders = mEngines.mOrders.size();
        assertEquals(mRegister.findByService("llm").size(), orders);
        run(Duration.ofSeconds(10));
        assertEquals(orders, mEngines.mOrders.size());
    }

    /** Streams were cut by orders to sound engines, since others paused for about a second. */
    @ParameterizedTest
    @CsvSource({
        "a,250", "a,1000", "a,1500", "a,2750", "b,250", "b,1000", "b,1500", "b,2750", "c,250",
        "c,1000", "c,1500", "c,2750"
    })
    void noEngineWithLayersGetsOthersWhileEnginesOfItsDomainPause(String domain, long pauseMs) {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(10));
        int orders = mEngines.mOrders.size();
        for (String card : List.of("small", "tiny", "mid")) {
            List<String> silent =
                    mRegister.findByService("llm").stream()
                            .filter(e -> e.domain().equals(domain) && e.card().get().equals(card))
                            .map(UpstreamEntry::id)
                            .toList();
            for (long ms = 0; ms < pauseMs; ms += 250) {
                silent.forEach(id -> mHealth.onUnreachable(id, mScheduler.monotonicNs()));
                run(Duration.ofMillis(250));
            }
            silent.forEach(id -> mHealth.onSuccess(id, mScheduler.monotonicNs()));
            run(Duration.ofSeconds(5));
        }
        assertEquals(List.of(), mEngines.mOrders.subList(orders, mEngines.mOrders.size()));
    }

    /** An engine that is gone, but still registered, is replaced. */
    @Test
    void layersOfEnginesThatStaySilentAreReplaced() {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(10));
        int orders = mEngines.mOrders.size();
        for (long ms = 0; ms < RepairDelay.PERIOD.toMillis() + 1000; ms += 250) {
            for (UpstreamEntry entry : List.copyOf(mRegister.findByService("llm"))) {
                if (entry.domain().equals("b") && entry.card().get().equals("tiny")) {
                    mHealth.onUnreachable(entry.id(), mScheduler.monotonicNs());
                }
            }
            run(Duration.ofMillis(250));
        }
        assertTrue(mEngines.mOrders.size() > orders);
    }

    /** A new holder of the lease doesn't know the orders that the previous holder sent. */
    @Test
    void theOrderCountOfAnEngineWithLayersIsQueriedBeforeItsFirstOrder() {
        register(Map.of());
        run(Duration.ofSeconds(14));
        Map<String, LayerRange> held = new HashMap<>(mEngines.mHeld);
        LayerPlacementController successor = newController();
        register(held);
        mRegister.remove("b-mid-0", mScheduler.monotonicNs());
        for (int i = 0; i < 20; i++) {
            mLease.step(Optional.of(0));
            successor.step();
            mScheduler.advance(Duration.ofMillis(250));
        }
        assertTrue(mEngines.mReports > 0);
        assertEquals(0, mEngines.mConflicts);
    }

    /**
     * A domain is partitioned during a store outage: some of its entries expire and return within
     * seconds. Reassigning the other engines meanwhile would stop chains that still run.
     */
    @Test
    void enginesOfAPartitionedDomainAreNotReassigned() {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(4));
        int orders = mEngines.mOrders.size();
        List<UpstreamEntry> expired =
                List.copyOf(mRegister.findByService("llm")).stream()
                        .filter(e -> e.domain().equals("c") && !e.card().get().equals("small"))
                        .toList();
        expired.forEach(e -> mRegister.remove(e.id(), mScheduler.monotonicNs()));
        run(Duration.ofMillis(2500));
        expired.forEach(mRegister::put);
        run(Duration.ofSeconds(4));
        assertEquals(orders, mEngines.mOrders.size());
    }

    /** The largest card of a domain came back first and loaded a copy for other domains. */
    @ParameterizedTest
    @CsvSource({"a,250", "a,1000", "a,3000", "b,250", "b,500", "b,1000", "c,1000", "c,3000"})
    void aDomainWhoseEnginesCrashTogetherIsWholeOnceTheyAreBack(String domain, long gapMs) {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(4));
        List<UpstreamEntry> crashed =
                mRegister.findByService("llm").stream()
                        .filter(e -> e.domain().equals(domain) && !e.card().get().equals("tiny"))
                        .sorted(Comparator.comparing(e -> e.card().get()))
                        .toList();
        for (UpstreamEntry engine : crashed) {
            mRegister.remove(engine.id(), mScheduler.monotonicNs());
            mEngines.mHeld.remove(engine.id());
            mEngines.mOrdersBegun.remove(engine.id());
        }
        run(Duration.ofSeconds(1));
        for (UpstreamEntry engine : crashed) {
            mRegister.put(restarted(engine));
            run(Duration.ofMillis(gapMs));
        }
        run(Duration.ofSeconds(1));
        assertTrue(isWhole(domain, Optional.empty()), mEngines.mHeld.toString());
    }

    private static UpstreamEntry restarted(UpstreamEntry engine) {
        return new UpstreamEntry(
                engine.id(),
                engine.service(),
                engine.address(),
                engine.domain(),
                false,
                engine.slots(),
                engine.card(),
                Optional.empty(),
                engine.startedAtMs() + 1,
                0);
    }

    /**
     * In a release the replacement joins first and gets a copy of other layers. A domain had no
     * chain from the departure until engines were moved, 3 s and a change of the holder later.
     */
    @ParameterizedTest
    @CsvSource({"a,false", "b,false", "c,false", "a,true", "b,true", "c,true"})
    void layersOfAnEngineThatAnnouncesToLeaveAreReplacedAtOnce(String domain, boolean newHolder) {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(4));
        UpstreamEntry first =
                mRegister.findByService("llm").stream()
                        .filter(e -> e.domain().equals(domain))
                        .findFirst()
                        .orElseThrow();
        mRegister.put(withId(first, "new", Optional.empty(), false));
        run(Duration.ofSeconds(1));
        mRegister.put(withId(first, "new", Optional.ofNullable(mEngines.mHeld.get("new")), false));
        run(Duration.ofSeconds(4));
        UpstreamEntry leaving =
                mRegister.findByService("llm").stream()
                        .filter(e -> e.domain().equals(domain))
                        .filter(e -> !isWhole(domain, Optional.of(e.id())))
                        .findFirst()
                        .orElseThrow();
        mRegister.put(withId(leaving, leaving.id(), leaving.layers(), true));
        LayerPlacementController holder = newHolder ? newController() : mController;
        for (int i = 0; i < 2; i++) {
            mLease.step(Optional.of(0));
            holder.step();
            mScheduler.advance(Duration.ofMillis(250));
        }
        assertTrue(isWhole(domain, Optional.of(leaving.id())), mEngines.mOrders.toString());
    }

    /** Checks whether engines of a domain hold all layers without one of them. */
    private boolean isWhole(String domain, Optional<String> without) {
        List<UpstreamEntry> members =
                mRegister.findByService("llm").stream()
                        .filter(e -> e.domain().equals(domain))
                        .filter(e -> without.filter(e.id()::equals).isEmpty())
                        .map(e -> e.withLayers(Optional.ofNullable(mEngines.mHeld.get(e.id()))))
                        .toList();
        return LayerGaps.find(members, 80).isEmpty();
    }

    private static UpstreamEntry withId(
            UpstreamEntry engine, String id, Optional<LayerRange> layers, boolean leaving) {
        return new UpstreamEntry(
                id,
                engine.service(),
                engine.address(),
                engine.domain(),
                leaving,
                engine.slots(),
                engine.card(),
                layers,
                engine.startedAtMs(),
                engine.heartbeats() + 1);
    }

    /** During a release or a scale-out under load the set of engines changes every second. */
    @Test
    void lostLayersAreReplacedWhileOtherEnginesKeepJoining() {
        register(Map.of());
        run(Duration.ofSeconds(14));
        register(mEngines.mHeld);
        run(Duration.ofSeconds(4));
        int orders = mEngines.mOrders.size();
        mRegister.remove("b-mid-0", mScheduler.monotonicNs());
        UpstreamEntry other = mRegister.findById("b-tiny-0").get();
        for (int i = 0; i < 5; i++) {
            mRegister.put(
                    new UpstreamEntry(
                            "new-" + i,
                            "llm",
                            other.address(),
                            "b",
                            false,
                            134,
                            Optional.of("unknown"),
                            Optional.empty(),
                            1,
                            0));
            run(Duration.ofSeconds(1));
        }
        assertTrue(mEngines.mOrders.size() > orders);
    }

    @Test
    void aHigherFencingTokenEndsTheLeaseAtOnce() {
        register(Map.of());
        mEngines.mFenced = true;
        run(Duration.ofSeconds(13));
        assertTrue(mLease.held().isEmpty());
    }

    /** Engines that check the expected order count, as the platform's engines do. */
    private static final class FakeEngines implements EngineControl {
        private final List<String> mOrders = new ArrayList<>();
        private final Map<String, LayerRange> mHeld = new HashMap<>();
        private final Map<String, Long> mOrdersBegun = new HashMap<>();
        private int mReports;
        private int mConflicts;
        private boolean mFenced;

        @Override
        public CompletionStage<OrderOutcome> sendOrder(
                UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun) {
            mOrders.add(engine.id());
            if (mFenced) {
                return CompletableFuture.completedFuture(new OrderOutcome.Fenced());
            }
            if (mOrdersBegun.getOrDefault(engine.id(), 0L) != ordersBegun) {
                mConflicts++;
                return CompletableFuture.completedFuture(new OrderOutcome.Conflict());
            }
            mOrdersBegun.put(engine.id(), ordersBegun + 1);
            mHeld.put(engine.id(), layers);
            return CompletableFuture.completedFuture(new OrderOutcome.Accepted());
        }

        @Override
        public CompletionStage<EngineReport> fetchReport(UpstreamEntry engine) {
            mReports++;
            long ordersBegun = mOrdersBegun.getOrDefault(engine.id(), 0L);
            return CompletableFuture.completedFuture(
                    new EngineReport.Present(ordersBegun, 0, 0, 0, 0, Map.of()));
        }
    }
}
