package org.amaranthpick.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.amaranthpick.core.manifest.Manifest;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the fleet does after each kind of failure, and in how long. */
class RepairTest {
    private static final Duration SETTLED = Duration.ofMinutes(10);
    private static final PlacementRig.Shape SHAPE = new PlacementRig.Shape(3, 2, 9, 2, true);

    private static PlacementRig settled(PlacementRig.Shape shape) {
        PlacementRig rig = new PlacementRig(shape);
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        return rig;
    }

    private static Identity engine(int domain, int number) {
        return Fleets.engineId("e" + domain + "-" + number);
    }

    /** Kinds of loss; each leaves room for a whole chain of every model somewhere. */
    enum Loss {
        ENGINE(1),
        RACK(3),
        DOMAIN(9);

        private final int mEngines;

        Loss(int engines) {
            mEngines = engines;
        }

        List<Identity> engines() {
            int step = this == RACK ? 3 : 1;
            return IntStream.range(0, mEngines).mapToObj(i -> engine(0, i * step)).toList();
        }
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void lossNeverTakesTheLastChainAndIsRepaired(Loss loss) {
        PlacementRig rig = settled(SHAPE);
        double[] before = {rig.throughput(0), rig.throughput(1)};
        loss.engines().forEach(id -> rig.mEngines.engine(id).kill());
        assertTrue(rig.throughput(0) > 0 && rig.throughput(1) > 0);
        rig.run(settings().lostGrace().plus(settings().planPeriod().multipliedBy(2)));
        Identity first = loss.engines().get(0);
        String lost = "placement " + first.key() + " left out of plans: it is lost";
        assertEquals(1, rig.mDecisions.stream().filter(lost::equals).count());
        if (loss != Loss.DOMAIN) {
            rig.runUntil(SETTLED, () -> rig.throughput(0, "d0") > 0 && rig.throughput(1, "d0") > 0);
        }
        rig.runUntil(SETTLED, () -> rig.quiet());
        double left = 1 - loss.engines().size() / 27.0;
        for (int model = 0; model < 2; model++) {
            assertTrue(rig.throughput(model) >= 0.5 * left * before[model], rig.tail());
        }
    }

    /** A silent engine keeps its place: nothing is moved, nothing ordered, until it stays away. */
    @ParameterizedTest
    @ValueSource(ints = {60, 200})
    void silentObserversMoveNothingForAWhile(int seconds) {
        PlacementRig rig = settled(SHAPE);
        int decisions = rig.mDecisions.size();
        rig.mReports = false;
        rig.run(Duration.ofSeconds(seconds));
        boolean left = rig.mDecisions.stream().anyMatch(d -> d.contains("report is too old"));
        assertEquals(seconds > settings().unknownLimit().toSeconds(), left);
        rig.mReports = true;
        rig.run(Duration.ofMinutes(1));
        List<String> since = rig.mDecisions.subList(decisions, rig.mDecisions.size());
        assertTrue(since.stream().noneMatch(d -> d.startsWith("order ")), since.toString());
        assertTrue(rig.full() && rig.quiet());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changeByAnybodyElseIsNoticedAndUndone(boolean restarted) {
        PlacementRig rig = settled(SHAPE);
        MemoryEngine engine = rig.mEngines.engine(engine(1, 2));
        List<UpstreamSpec.Holding> wanted = engine.holdings();
        if (restarted) {
            engine.restart();
        } else {
            engine.loadNow(List.of(PlacementRig.holding(rig.model(1), 1, 3)));
        }
        rig.run(Duration.ofSeconds(2));
        String noticed = "order " + engine.spec().id().key() + " changed without an order";
        boolean told = rig.mDecisions.stream().anyMatch(d -> d.startsWith(noticed));
        assertEquals(!restarted, told);
        rig.runUntil(SETTLED, () -> rig.quiet());
        assertEquals(wanted, engine.holdings());
    }

    private static PlacementSettings settings() {
        return PlacementSettings.defaults();
    }

    @Test
    void lostDomainThatReturnsIsFilledAgain() {
        PlacementRig rig = settled(SHAPE);
        Loss.DOMAIN.engines().forEach(id -> rig.mEngines.engine(id).kill());
        rig.mDaemons.values().stream()
                .filter(d -> d.mSelf.domain().equals(Fleets.domain("d0")))
                .forEach(PlacementRig.Daemon::die);
        rig.run(Duration.ofMinutes(3));
        Loss.DOMAIN.engines().forEach(id -> rig.mEngines.engine(id).restart());
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6})
    void joinersAreFilledAWaveAtATimeWithinTheWeightStoresLimit(int count) {
        PlacementRig rig = settled(SHAPE);
        List<Identity> joiners = IntStream.range(0, count).mapToObj(i -> engine(1, i)).toList();
        joiners.forEach(id -> rig.mEngines.engine(id).kill());
        rig.run(Duration.ofSeconds(30));
        joiners.forEach(id -> rig.mEngines.engine(id).restart());
        rig.runUntil(
                SETTLED,
                () ->
                        joiners.stream()
                                .noneMatch(id -> rig.mEngines.engine(id).holdings().isEmpty()));
        assertTrue(rig.mEngines.mostLoads() <= 2 * 4, "loads at once " + rig.mEngines.mostLoads());
    }

    @Test
    void engineThatLoadsTheWrongVersionIsToldAgainThenLeftOut() {
        PlacementRig rig = settled(SHAPE);
        MemoryEngine liar = rig.mEngines.engine(engine(2, 0));
        liar.setWrongHoldings(List.of(PlacementRig.holding(rig.model(0), 3, 5)));
        liar.kill();
        rig.run(Duration.ofSeconds(5));
        liar.restart();
        Identity id = liar.spec().id();
        String out = "placement " + id.key() + " left out of plans: it did not do what it was told";
        rig.runUntil(SETTLED, () -> rig.mDecisions.contains(out));
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
        String sent = "order " + id.key() + " sent";
        long told = rig.mDecisions.stream().filter(d -> d.startsWith(sent)).count();
        liar.setWrongHoldings(List.of());
        rig.runUntil(
                Duration.ofMinutes(20),
                () -> rig.mDecisions.contains("placement " + id.key() + " back in plans"));
        rig.runUntil(SETTLED, () -> rig.quiet());
        assertTrue(told >= 3);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 1_000})
    void engineThatLiesAboutItsLoadIsLeftOut(int streams) {
        PlacementRig rig = settled(SHAPE);
        MemoryEngine liar = rig.mEngines.engine(engine(1, 4));
        liar.setRunningStreams(streams);
        rig.run(Duration.ofSeconds(5));
        String prefix = "placement " + liar.spec().id().key() + " left out of plans: reports";
        assertTrue(rig.mDecisions.stream().anyMatch(d -> d.startsWith(prefix)));
        rig.runUntil(SETTLED, () -> rig.full() && rig.quiet());
    }

    @Test
    void degradedLinkMakesADomainHoldWholeChainsAgain() {
        PlacementRig.Shape small = new PlacementRig.Shape(2, 2, 1, 1, true);
        PlacementRig rig = new PlacementRig(small);
        rig.runUntil(SETTLED, () -> rig.throughput(0) > 0);
        assertEquals(0, rig.throughput(0, "d0"));
        rig.mLinks = (from, to) -> true;
        rig.run(Duration.ofMinutes(2));
        assertTrue(rig.throughput(0) > 0, "the last chain stays, degraded or not");
    }

    @Test
    void retiredVersionGoesOnlyAfterItsStreamsEnded() {
        PlacementRig rig = settled(SHAPE);
        MemoryEngine busy =
                rig.mEngines.engines().stream()
                        .filter(e -> Holdings.models(e.holdings()).contains(rig.model(1).id()))
                        .findFirst()
                        .orElseThrow();
        busy.setRunningStreams(3);
        Manifest old = rig.mConfiguration.manifest();
        rig.configure(
                new Manifest(
                        old.fleets(),
                        old.domains(),
                        old.links(),
                        old.hosts(),
                        old.weightStores(),
                        old.upstreams(),
                        old.modelVersions(),
                        old.adapters(),
                        List.of(PlacementRig.pipeline("p0", rig.model(0).id())),
                        old.workspaces(),
                        old.services()));
        rig.run(Duration.ofMinutes(5));
        assertTrue(Holdings.models(busy.holdings()).contains(rig.model(1).id()));
        busy.setRunningStreams(0);
        rig.runUntil(
                SETTLED,
                () ->
                        rig.mEngines.engines().stream()
                                .noneMatch(
                                        e ->
                                                Holdings.models(e.holdings())
                                                        .contains(rig.model(1).id())));
    }
}
