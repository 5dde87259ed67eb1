package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Safety of orders during takeovers, pauses, store outages and lost replies. */
class OrderSafetyTest {
    private static final Duration SETTLE_TIMEOUT = Duration.ofMinutes(20);
    private static final Duration ORDER_TRANSIT = PlacementSettings.defaults().maxOrderTransit();

    private static PlacementFixture createFixture(boolean fencing) {
        return new PlacementFixture(new PlacementFixture.Shape(2, 3, 5, 2, fencing));
    }

    private static boolean fencesNeverDecrease(SimulatedEngine engine) {
        long before = 0;
        for (UpstreamOrder order : engine.orders()) {
            if (order.fence() < before) {
                return false;
            }
            before = order.fence();
        }
        return true;
    }

    private static boolean fencesNeverDecrease(PlacementFixture fixture) {
        return fixture.mEngines.engines().stream().allMatch(OrderSafetyTest::fencesNeverDecrease);
    }

    private static PlacementSettings withOrderTransit(Duration orderTransit) {
        PlacementSettings s = PlacementSettings.defaults();
        return new PlacementSettings(
                s.leaseDuration(),
                s.leaseMargin(),
                s.renewPeriod(),
                s.takeoverStep(),
                s.maxBackoff(),
                s.maxCallTime(),
                s.planPeriod(),
                s.maxOrderDelay(),
                orderTransit,
                s.holdPropagation(),
                s.holdRefresh(),
                s.holdExpiry(),
                s.maxStatusAge(),
                s.lostGrace(),
                s.unknownGrace(),
                s.retiredGrace(),
                s.orderRetryDelay(),
                s.maxOrderRetryDelay(),
                s.unverifiedDrain());
    }

    /**
     * Without the wait for orders in transit, an engine that ignores fencing accepts a stale order
     * after a takeover.
     */
    @ParameterizedTest
    @CsvSource({"true, 5, true", "false, 5, true", "false, 0, false"})
    void orderInTransitDuringATakeover(boolean fencing, int transitWaitSeconds, boolean safe) {
        PlacementFixture fixture = createFixture(fencing);
        fixture.restartDaemons(withOrderTransit(Duration.ofSeconds(transitWaitSeconds)));
        fixture.mEngines.setOrderDelay(ORDER_TRANSIT.minusMillis(1));
        fixture.runUntil(
                SETTLE_TIMEOUT,
                () -> fixture.mDecisions.stream().anyMatch(d -> d.contains("d0 acquired")));
        fixture.runUntil(
                SETTLE_TIMEOUT,
                () -> fixture.mDecisions.stream().anyMatch(d -> d.contains("e0-0 sent")));
        fixture.mEngines.setOrderDelay(Duration.ZERO);
        PlacementFixture.Daemon first = fixture.owner("d0");
        first.mService.close();
        first.crash();
        fixture.run(Duration.ofMinutes(2));
        assertEquals(safe, fencesNeverDecrease(fixture));
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
    }

    @Test
    void orderIsDiscardedAfterALongPause() {
        PlacementFixture fixture = createFixture(true);
        fixture.mDaemons.values().forEach(d -> d.mStore.mReplyDelay = Duration.ofMillis(1_600));
        fixture.mDaemons.values().forEach(d -> d.mStore.mDelaysReply = k -> k.contains("/shard/"));
        fixture.run(Duration.ofMinutes(3));
        assertTrue(fixture.mDecisions.stream().anyMatch(d -> d.contains("discarded: ")));
        assertTrue(fixture.mEngines.engines().stream().allMatch(e -> e.orders().isEmpty()));
        fixture.mDaemons.values().forEach(d -> d.mStore.mDelaysReply = k -> false);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ordersWithLostRepliesAreRepeatedUntilTheEngineComplies(boolean fencing) {
        PlacementFixture fixture = createFixture(fencing);
        fixture.mEngines.setLosesReplies(true);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        assertTrue(fencesNeverDecrease(fixture));
    }

    @Test
    void storeOutageStopsOrdersAndNoStaleOrderFollows() {
        PlacementFixture fixture = createFixture(false);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        SimulatedEngine engine = fixture.mEngines.engine(TestFleets.engineId("e0-1"));
        int ordersBefore = engine.orders().size();
        List<UpstreamSpec.Holding> held = engine.holdings();
        fixture.mDaemons.values().forEach(d -> d.mStore.mUnavailable = true);
        fixture.run(Duration.ofSeconds(20));
        engine.restart();
        fixture.run(Duration.ofHours(3));
        assertEquals(ordersBefore, engine.orders().size());
        assertTrue(fixture.throughput(0) > 0 && fixture.throughput(1) > 0);
        fixture.mDaemons.values().forEach(d -> d.mStore.mUnavailable = false);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        assertEquals(held, engine.holdings());
        UpstreamOrder last = engine.orders().get(engine.orders().size() - 1);
        assertEquals(2, last.fence());
    }

    @Test
    void destructiveOrderWaitsForTheRoutingHoldAndTheDrain() {
        PlacementFixture fixture = createFixture(true);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        SimulatedEngine engine = fixture.mEngines.engine(TestFleets.engineId("e0-4"));
        Identity id = engine.spec().id();
        engine.setRunningStreams(2);
        engine.setWrongHoldings(List.of(PlacementFixture.holding(fixture.model(0), 2, 5)));
        engine.restart();
        fixture.run(Duration.ofMinutes(2));
        int orders = engine.orders().size();
        assertFalse(engine.holdings().isEmpty());
        for (PlacementFixture.Daemon daemon : fixture.mDaemons.values()) {
            assertTrue(daemon.mBoard.routingHolds().get(id).isPresent());
        }
        fixture.run(Duration.ofMinutes(2));
        assertEquals(orders, engine.orders().size(), "ordered while streams were running");
        engine.setWrongHoldings(List.of());
        engine.setRunningStreams(0);
        fixture.runUntil(SETTLE_TIMEOUT, () -> engine.orders().size() > orders);
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.isSettled());
        fixture.run(Duration.ofSeconds(10));
        for (PlacementFixture.Daemon daemon : fixture.mDaemons.values()) {
            assertTrue(daemon.mBoard.routingHolds().get(id).isEmpty());
        }
    }

    /** The fixture checks invariants and leases at each tick. */
    @Property(tries = 40, seed = "20260704")
    void fencesNeverDecreaseUnderRandomFaultsAndTheFleetRecovers(
            @ForAll long seed, @ForAll boolean fencing) {
        Random random = new Random(seed);
        PlacementFixture fixture = createFixture(fencing);
        for (int round = 0; round < 15; round++) {
            for (PlacementFixture.Daemon daemon : fixture.mDaemons.values()) {
                daemon.mRunning = random.nextInt(4) != 0;
                daemon.mStore.mUnavailable = random.nextInt(6) == 0;
                boolean loses = random.nextInt(4) == 0;
                daemon.mStore.mLosesReply = key -> loses;
                boolean late = random.nextInt(4) == 0;
                daemon.mStore.mDelaysReply = key -> late;
                daemon.mStore.mReplyDelay = Duration.ofMillis(random.nextInt(15_000));
            }
            for (SimulatedEngine engine : fixture.mEngines.engines()) {
                if (random.nextInt(8) == 0) {
                    engine.kill();
                } else if (!engine.alive() || random.nextInt(12) == 0) {
                    engine.restart();
                }
                engine.setRunningStreams(random.nextInt(3));
            }
            fixture.mEngines.setOrderDelay(Duration.ofMillis(random.nextInt(4_999)));
            fixture.mEngines.setLosesReplies(random.nextInt(3) == 0);
            fixture.run(Duration.ofSeconds(1 + random.nextInt(60)));
            assertTrue(fencesNeverDecrease(fixture));
        }
        removeFaults(fixture);
        fixture.runUntil(
                Duration.ofHours(1), () -> fixture.everyDomainHasChains() && fixture.isSettled());
    }

    private static void removeFaults(PlacementFixture fixture) {
        fixture.mEngines.setLosesReplies(false);
        fixture.mEngines.setOrderDelay(Duration.ZERO);
        for (PlacementFixture.Daemon daemon : fixture.mDaemons.values()) {
            daemon.mRunning = true;
            daemon.mStore.mUnavailable = false;
            daemon.mStore.mLosesReply = key -> false;
            daemon.mStore.mDelaysReply = key -> false;
        }
        for (SimulatedEngine engine : fixture.mEngines.engines()) {
            engine.setRunningStreams(0);
            if (!engine.alive()) {
                engine.restart();
            }
        }
    }
}
