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

/** Chains left when the owners of all domains act at once on the same old view. */
class ChainGuardTest {
    private static final PlacementRig.Shape SHAPE = new PlacementRig.Shape(3, 1, 4, 1, true);
    private static final int[] BOUNDS = {0, 8, 16};

    private final PlacementRig mRig = new PlacementRig(SHAPE);
    private final Blackboard mBoard = mRig.mDaemons.values().iterator().next().mBoard;

    private EngineSurvey survey(Random random) {
        for (MemoryEngine engine : mRig.mEngines.engines()) {
            int from = random.nextInt(2);
            int to = from + 1 + random.nextInt(2 - from);
            UpstreamSpec.Holding holding =
                    PlacementRig.holding(mRig.model(0), BOUNDS[from], BOUNDS[to]);
            engine.kill();
            engine.restart();
            engine.loadNow(random.nextInt(3) == 0 ? List.of() : List.of(holding));
        }
        mRig.mScheduler.advance(Duration.ofSeconds(1));
        mRig.mEngines.report(mBoard);
        PlacementRig.Daemon daemon = mRig.mDaemons.values().iterator().next();
        return survey(daemon);
    }

    private EngineSurvey survey(PlacementRig.Daemon daemon) {
        TrustTable trust = new TrustTable(mRig.mScheduler);
        EngineHealth health = new EngineHealth(daemon.mContext, trust);
        return new EngineSurvey(mRig.mConfiguration, mBoard, health, Fleets.domain("d0"));
    }

    private List<LayerRange> without(EngineSurvey survey, Set<Identity> gone) {
        List<LayerRange> ranges = new ArrayList<>();
        survey.entries()
                .forEach(
                        (id, entry) -> {
                            if (!gone.contains(id)) {
                                entry.held().forEach(h -> ranges.add(h.layers()));
                            }
                        });
        return ranges;
    }

    /** Domains with a chain of their own rank take away all they may, none sees the others do. */
    @Property(tries = 300, seed = "20260705")
    void aChainIsLeftWhenAllDomainsThatKeepOneActAtOnce(@ForAll long seed) {
        EngineSurvey survey = survey(new Random(seed));
        Set<Identity> gone = new HashSet<>();
        for (int d = 0; d < SHAPE.domains(); d++) {
            Identity domain = Fleets.domain("d" + d);
            ChainGuard guard = new ChainGuard(survey, domain);
            Set<Identity> own = new HashSet<>();
            if (!guard.keepsOwnChain(mRig.model(0))) {
                continue;
            }
            for (EngineSurvey.Entry entry : survey.entries().values()) {
                Identity id = entry.spec().id();
                boolean local = entry.spec().domain().equals(domain);
                if (local && guard.allows(mRig.model(0), id, own)) {
                    own.add(id);
                }
            }
            gone.addAll(own);
        }
        boolean before = ChainCover.isCovered(16, without(survey, Set.of()));
        assertEquals(before, ChainCover.isCovered(16, without(survey, gone)));
    }

    @Test
    void aLoneChainMayNotBeTaken() {
        mRig.mScheduler.advance(Duration.ofSeconds(1));
        mRig.mEngines.engines().forEach(e -> e.loadNow(List.of()));
        MemoryEngine only = mRig.mEngines.engine(Fleets.engineId("e1-1"));
        only.loadNow(List.of(PlacementRig.holding(mRig.model(0), 0, 16)));
        mRig.mEngines.report(mBoard);
        PlacementRig.Daemon daemon = mRig.mDaemons.values().iterator().next();
        EngineSurvey survey = survey(daemon);
        for (int d = 0; d < SHAPE.domains(); d++) {
            ChainGuard guard = new ChainGuard(survey, Fleets.domain("d" + d));
            assertFalse(guard.allows(mRig.model(0), only.spec().id(), Set.of()));
        }
    }

    @Test
    void missingLayersGoWhereTheLinkIsNotDegraded() {
        List<EngineView> engines =
                List.of(
                        Fleets.engine(0, "d0", "", 12),
                        Fleets.engine(1, "d0", "", 12),
                        Fleets.engine(2, "d1", "", 12));
        UpstreamSpec.Holding first = PlacementRig.holding(mRig.model(0), 0, 8);
        UpstreamSpec.Holding second = PlacementRig.holding(mRig.model(0), 8, 16);
        List<EngineView> held =
                List.of(
                        engines.get(0).holding(List.of(first)),
                        engines.get(1),
                        engines.get(2).holding(List.of(second)));
        PlanInput input =
                new PlanInput(
                        held,
                        List.of(Fleets.need(mRig.model(0), 10)),
                        Set.of(Fleets.domain("d0")),
                        Set.of(),
                        Set.of(Fleets.domain("d1")));
        Plan plan = new LayerTreePlanner().plan(input);
        assertEquals(List.of(second), plan.targets().get(engines.get(1).id()));
        assertTrue(Optional.ofNullable(plan.targets().get(engines.get(2).id())).isEmpty());
    }
}
