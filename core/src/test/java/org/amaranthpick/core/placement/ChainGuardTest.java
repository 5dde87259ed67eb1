package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.junit.jupiter.api.Test;

/** Chains that remain when the owners of all domains act at once on the same outdated view. */
class ChainGuardTest {
    private static final PlacementFixture.Shape SHAPE =
            new PlacementFixture.Shape(3, 1, 4, 1, true);
    private static final int[] BOUNDS = {0, 8, 16};

    private final PlacementFixture mFixture = new PlacementFixture(SHAPE);
    private final Blackboard mBoard = mFixture.mDaemons.values().iterator().next().mBoard;

    private EngineSnapshot snapshot(Random random) {
        for (SimulatedEngine engine : mFixture.mEngines.engines()) {
            int from = random.nextInt(2);
            int to = from + 1 + random.nextInt(2 - from);
            UpstreamSpec.Holding holding =
                    PlacementFixture.holding(mFixture.model(0), BOUNDS[from], BOUNDS[to]);
            engine.kill();
            engine.restart();
            engine.setHoldings(random.nextInt(3) == 0 ? List.of() : List.of(holding));
        }
        mFixture.mScheduler.advance(Duration.ofSeconds(1));
        mFixture.mEngines.report(mBoard);
        PlacementFixture.Daemon daemon = mFixture.mDaemons.values().iterator().next();
        return snapshot(daemon);
    }

    private EngineSnapshot snapshot(PlacementFixture.Daemon daemon) {
        EngineTrust trust = new EngineTrust(mFixture.mScheduler);
        EngineHealth health = new EngineHealth(daemon.mContext, trust);
        return new EngineSnapshot(mFixture.mConfiguration, mBoard, health, TestFleets.domain("d0"));
    }

    private List<LayerRange> rangesWithout(EngineSnapshot snapshot, Set<Identity> removed) {
        List<LayerRange> ranges = new ArrayList<>();
        snapshot.entries()
                .forEach(
                        (id, entry) -> {
                            if (!removed.contains(id)) {
                                entry.holdings().forEach(h -> ranges.add(h.layers()));
                            }
                        });
        return ranges;
    }

    /**
     * Each domain that must keep a chain changes all engines it may, without seeing the changes of
     * the others.
     */
    @Property(tries = 300, seed = "20260705")
    void concurrentChangesInAllDomainsKeepAChain(@ForAll long seed) {
        EngineSnapshot snapshot = snapshot(new Random(seed));
        Set<Identity> removed = new HashSet<>();
        for (int d = 0; d < SHAPE.domains(); d++) {
            Identity domain = TestFleets.domain("d" + d);
            ChainGuard guard = new ChainGuard(snapshot, domain);
            Set<Identity> own = new HashSet<>();
            if (!guard.mustKeepOwnChain(mFixture.model(0))) {
                continue;
            }
            for (EngineSnapshot.Entry entry : snapshot.entries().values()) {
                Identity id = entry.spec().id();
                boolean local = entry.spec().domain().equals(domain);
                if (local && guard.allowsChange(mFixture.model(0), id, own)) {
                    own.add(id);
                }
            }
            removed.addAll(own);
        }
        boolean before = ChainCover.isCovered(16, rangesWithout(snapshot, Set.of()));
        assertEquals(before, ChainCover.isCovered(16, rangesWithout(snapshot, removed)));
    }

    @Test
    void theOnlyChainIsNotBroken() {
        mFixture.mScheduler.advance(Duration.ofSeconds(1));
        mFixture.mEngines.engines().forEach(e -> e.setHoldings(List.of()));
        SimulatedEngine only = mFixture.mEngines.engine(TestFleets.engineId("e1-1"));
        only.setHoldings(List.of(PlacementFixture.holding(mFixture.model(0), 0, 16)));
        mFixture.mEngines.report(mBoard);
        PlacementFixture.Daemon daemon = mFixture.mDaemons.values().iterator().next();
        EngineSnapshot snapshot = snapshot(daemon);
        for (int d = 0; d < SHAPE.domains(); d++) {
            ChainGuard guard = new ChainGuard(snapshot, TestFleets.domain("d" + d));
            assertFalse(guard.allowsChange(mFixture.model(0), only.spec().id(), Set.of()));
        }
    }

    @Test
    void missingLayersArePlacedLocallyIfTheOtherDomainIsCutOff() {
        List<EngineView> engines =
                List.of(
                        TestFleets.engine(0, "d0", "", 12),
                        TestFleets.engine(1, "d0", "", 12),
                        TestFleets.engine(2, "d1", "", 12));
        UpstreamSpec.Holding first = PlacementFixture.holding(mFixture.model(0), 0, 8);
        UpstreamSpec.Holding second = PlacementFixture.holding(mFixture.model(0), 8, 16);
        List<EngineView> held =
                List.of(
                        engines.get(0).withHoldings(List.of(first)),
                        engines.get(1),
                        engines.get(2).withHoldings(List.of(second)));
        PlanInput input =
                new PlanInput(
                        held,
                        List.of(TestFleets.requirement(mFixture.model(0), 10)),
                        Set.of(TestFleets.domain("d0")),
                        Set.of(),
                        Set.of(TestFleets.domain("d1")));
        Plan plan = new LayerTreePlanner().plan(input);
        assertEquals(List.of(second), plan.targets().get(engines.get(1).id()));
        assertTrue(Optional.ofNullable(plan.targets().get(engines.get(2).id())).isEmpty());
    }
}
