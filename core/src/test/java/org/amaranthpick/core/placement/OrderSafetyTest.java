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

/** Orders across takeovers, pauses, outages and lost answers. */
class OrderSafetyTest {
    private static final Duration SETTLED = Duration.ofMinutes(20);
    private static final Duration FLIGHT = PlacementSettings.defaults().orderFlight();

    private static PlacementRig rig(boolean fencing) {
        return new PlacementRig(new PlacementRig.Shape(2, 3, 5, 2, fencing));
    }

    private static boolean fencesNeverFall(MemoryEngine engine) {
        long before = 0;
        for (UpstreamOrder order : engine.orders()) {
            if (order.fence() < before) {
                return false;
            }
            before = order.fence();
        }
        return true;
    }

    private static boolean fencesNeverFall(PlacementRig rig) {
        return rig.mEngines.engines().stream().allMatch(OrderSafetyTest::fencesNeverFall);
    }

    private static PlacementSettings withFlight(Duration flight) {
        PlacementSettings s = PlacementSettings.defaults();
        return new PlacementSettings(
                s.leaseDuration(),
                s.leaseMargin(),
                s.renewPeriod(),
                s.takeoverStep(),
                s.maxBackoff(),
                s.maxCallTime(),
                s.planPeriod(),
                s.maxPause(),
                flight,
                s.holdSpread(),
                s.holdRefresh(),
                s.holdExpiry(),
                s.maxStatusAge(),
                s.lostGrace(),
                s.unknownLimit(),
                s.retiredGrace(),
                s.orderRetry(),
                s.maxOrderRetry(),
                s.untrustedDrain());
    }

    /** Without the wait for orders under way, an engine that ignores fencing takes a stale one. */
    @ParameterizedTest
    @CsvSource({"true, 5, true", "false, 5, true", "false, 0, false"})
    void orderInFlightAcrossATakeover(boolean fencing, int flightWaitSeconds, boolean safe) {
        PlacementRig rig = rig(fencing);
        rig.useSettings(withFlight(Duration.ofSeconds(flightWaitSeconds)));
        rig.mEngines.setOrderDelay(FLIGHT.minusMillis(1));
        rig.runUntil(SETTLED, () -> rig.mDecisions.stream().anyMatch(d -> d.contains("d0 taken")));
        rig.runUntil(SETTLED, () -> rig.mDecisions.stream().anyMatch(d -> d.contains("e0-0 sent")));
        rig.mEngines.setOrderDelay(Duration.ZERO);
        PlacementRig.Daemon first = rig.owner("d0");
        first.mService.close();
        first.die();
        rig.run(Duration.ofMinutes(2));
        assertEquals(safe, fencesNeverFall(rig));
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
    }

    @Test
    void longPauseAfterTheCheckDiscardsTheOrder() {
        PlacementRig rig = rig(true);
        rig.mDaemons.values().forEach(d -> d.mStore.mLateBy = Duration.ofMillis(1_600));
        rig.mDaemons.values().forEach(d -> d.mStore.mAnswersLate = k -> k.contains("/shard/"));
        rig.run(Duration.ofMinutes(3));
        assertTrue(rig.mDecisions.stream().anyMatch(d -> d.contains("discarded: ")));
        assertTrue(rig.mEngines.engines().stream().allMatch(e -> e.orders().isEmpty()));
        rig.mDaemons.values().forEach(d -> d.mStore.mAnswersLate = k -> false);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostRepliesAreRepeatedUntilTheEngineComplies(boolean fencing) {
        PlacementRig rig = rig(fencing);
        rig.mEngines.setLosesReplies(true);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        assertTrue(fencesNeverFall(rig));
    }

    @Test
    void outageOfTheStoreStopsOrdersAndNothingOldFollowsIt() {
        PlacementRig rig = rig(false);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        MemoryEngine engine = rig.mEngines.engine(Fleets.engineId("e0-1"));
        int ordersBefore = engine.orders().size();
        List<UpstreamSpec.Holding> held = engine.holdings();
        rig.mDaemons.values().forEach(d -> d.mStore.mOut = true);
        rig.run(Duration.ofSeconds(20));
        engine.restart();
        rig.run(Duration.ofHours(3));
        assertEquals(ordersBefore, engine.orders().size());
        assertTrue(rig.throughput(0) > 0 && rig.throughput(1) > 0);
        rig.mDaemons.values().forEach(d -> d.mStore.mOut = false);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        assertEquals(held, engine.holdings());
        UpstreamOrder last = engine.orders().get(engine.orders().size() - 1);
        assertEquals(2, last.fence());
    }

    @Test
    void destructiveOrderWaitsForTheHoldEverywhereAndForTheDrain() {
        PlacementRig rig = rig(true);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        MemoryEngine engine = rig.mEngines.engine(Fleets.engineId("e0-4"));
        Identity id = engine.spec().id();
        engine.setRunningStreams(2);
        engine.setWrongHoldings(List.of(PlacementRig.holding(rig.model(0), 2, 5)));
        engine.restart();
        rig.run(Duration.ofMinutes(2));
        int orders = engine.orders().size();
        assertFalse(engine.holdings().isEmpty());
        for (PlacementRig.Daemon daemon : rig.mDaemons.values()) {
            assertTrue(daemon.mBoard.holds().get(id).isPresent());
        }
        rig.run(Duration.ofMinutes(2));
        assertEquals(orders, engine.orders().size(), "ordered while streams ran");
        engine.setWrongHoldings(List.of());
        engine.setRunningStreams(0);
        rig.runUntil(SETTLED, () -> engine.orders().size() > orders);
        rig.runUntil(SETTLED, () -> rig.quiet());
        rig.run(Duration.ofSeconds(10));
        for (PlacementRig.Daemon daemon : rig.mDaemons.values()) {
            assertTrue(daemon.mBoard.holds().get(id).isEmpty());
        }
    }

    /** Invariants and leases are asserted by the rig at each tick. */
    @Property(tries = 40, seed = "20260704")
    void stormOfFaultsKeepsOrdersInOrderAndHeals(@ForAll long seed, @ForAll boolean fencing) {
        Random random = new Random(seed);
        PlacementRig rig = rig(fencing);
        for (int round = 0; round < 15; round++) {
            for (PlacementRig.Daemon daemon : rig.mDaemons.values()) {
                daemon.mRuns = random.nextInt(4) != 0;
                daemon.mStore.mOut = random.nextInt(6) == 0;
                boolean loses = random.nextInt(4) == 0;
                daemon.mStore.mLosesAnswer = key -> loses;
                boolean late = random.nextInt(4) == 0;
                daemon.mStore.mAnswersLate = key -> late;
                daemon.mStore.mLateBy = Duration.ofMillis(random.nextInt(15_000));
            }
            for (MemoryEngine engine : rig.mEngines.engines()) {
                if (random.nextInt(8) == 0) {
                    engine.kill();
                } else if (!engine.alive() || random.nextInt(12) == 0) {
                    engine.restart();
                }
                engine.setRunningStreams(random.nextInt(3));
            }
            rig.mEngines.setOrderDelay(Duration.ofMillis(random.nextInt(4_999)));
            rig.mEngines.setLosesReplies(random.nextInt(3) == 0);
            rig.run(Duration.ofSeconds(1 + random.nextInt(60)));
            assertTrue(fencesNeverFall(rig));
        }
        heal(rig);
        rig.runUntil(Duration.ofHours(1), () -> rig.full() && rig.quiet());
    }

    private static void heal(PlacementRig rig) {
        rig.mEngines.setLosesReplies(false);
        rig.mEngines.setOrderDelay(Duration.ZERO);
        for (PlacementRig.Daemon daemon : rig.mDaemons.values()) {
            daemon.mRuns = true;
            daemon.mStore.mOut = false;
            daemon.mStore.mLosesAnswer = key -> false;
            daemon.mStore.mAnswersLate = key -> false;
        }
        for (MemoryEngine engine : rig.mEngines.engines()) {
            engine.setRunningStreams(0);
            if (!engine.alive()) {
                engine.restart();
            }
        }
    }
}
