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

/** Repair of placement after each kind of failure, within a time limit. */
class RepairTest {
    private static final Duration SETTLE_TIMEOUT = Duration.ofMinutes(10);
    private static final PlacementFixture.Shape SHAPE =
            new PlacementFixture.Shape(3, 2, 9, 2, true);

    private static PlacementFixture settledFixture(PlacementFixture.Shape shape) {
        PlacementFixture fixture = new PlacementFixture(shape);
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        return fixture;
    }

    private static Identity engine(int domain, int number) {
        return TestFleets.engineId("e" + domain + "-" + number);
    }

    /** Kinds of loss; each leaves room for a complete chain of every model in some domain. */
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
    void lossIsRepairedAndNeverBreaksTheLastChain(Loss loss) {
        PlacementFixture fixture = settledFixture(SHAPE);
        double[] before = {fixture.throughput(0), fixture.throughput(1)};
        loss.engines().forEach(id -> fixture.mEngines.engine(id).kill());
        assertTrue(fixture.throughput(0) > 0 && fixture.throughput(1) > 0);
        fixture.run(settings().lostGrace().plus(settings().planPeriod().multipliedBy(2)));
        Identity first = loss.engines().get(0);
        String exclusion = "placement " + first.key() + " excluded from plans: the engine is lost";
        assertEquals(1, fixture.mDecisions.stream().filter(exclusion::equals).count());
        if (loss != Loss.DOMAIN) {
            fixture.runUntil(
                    SETTLE_TIMEOUT,
                    () -> fixture.throughput(0, "d0") > 0 && fixture.throughput(1, "d0") > 0);
        }
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.isSettled());
        double remaining = 1 - loss.engines().size() / 27.0;
        for (int model = 0; model < 2; model++) {
            assertTrue(
                    fixture.throughput(model) >= 0.5 * remaining * before[model],
                    fixture.recentDecisions());
        }
    }

    /**
     * Without observations nothing is ordered; engines leave the plans only after the limit for
     * unknown engines.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 200})
    void missingObservationsChangeNothingBeforeTheLimit(int seconds) {
        PlacementFixture fixture = settledFixture(SHAPE);
        int decisions = fixture.mDecisions.size();
        fixture.mObserving = false;
        fixture.run(Duration.ofSeconds(seconds));
        boolean excluded =
                fixture.mDecisions.stream().anyMatch(d -> d.contains("report is too old"));
        assertEquals(seconds > settings().unknownGrace().toSeconds(), excluded);
        fixture.mObserving = true;
        fixture.run(Duration.ofMinutes(1));
        List<String> since = fixture.mDecisions.subList(decisions, fixture.mDecisions.size());
        assertTrue(since.stream().noneMatch(d -> d.startsWith("order ")), since.toString());
        assertTrue(fixture.everyDomainHasChains() && fixture.isSettled());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void foreignChangeIsDetectedAndReverted(boolean restarted) {
        PlacementFixture fixture = settledFixture(SHAPE);
        SimulatedEngine engine = fixture.mEngines.engine(engine(1, 2));
        List<UpstreamSpec.Holding> target = engine.holdings();
        if (restarted) {
            engine.restart();
        } else {
            engine.setHoldings(List.of(PlacementFixture.holding(fixture.model(1), 1, 3)));
        }
        fixture.run(Duration.ofSeconds(2));
        String prefix = "order " + engine.spec().id().key() + " changed without an order";
        boolean detected = fixture.mDecisions.stream().anyMatch(d -> d.startsWith(prefix));
        assertEquals(!restarted, detected);
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.isSettled());
        assertEquals(target, engine.holdings());
    }

    private static PlacementSettings settings() {
        return PlacementSettings.defaults();
    }

    @Test
    void returningDomainIsFilledAgain() {
        PlacementFixture fixture = settledFixture(SHAPE);
        Loss.DOMAIN.engines().forEach(id -> fixture.mEngines.engine(id).kill());
        fixture.mDaemons.values().stream()
                .filter(d -> d.mSelf.domain().equals(TestFleets.domain("d0")))
                .forEach(PlacementFixture.Daemon::crash);
        fixture.run(Duration.ofMinutes(3));
        Loss.DOMAIN.engines().forEach(id -> fixture.mEngines.engine(id).restart());
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6})
    void joiningEnginesLoadWithinTheWeightStoreLimit(int count) {
        PlacementFixture fixture = settledFixture(SHAPE);
        List<Identity> joining = IntStream.range(0, count).mapToObj(i -> engine(1, i)).toList();
        joining.forEach(id -> fixture.mEngines.engine(id).kill());
        fixture.run(Duration.ofSeconds(30));
        joining.forEach(id -> fixture.mEngines.engine(id).restart());
        fixture.runUntil(
                SETTLE_TIMEOUT,
                () ->
                        joining.stream()
                                .noneMatch(id -> fixture.mEngines.engine(id).holdings().isEmpty()));
        assertTrue(
                fixture.mEngines.peakLoads() <= 2 * 4,
                "loads at once " + fixture.mEngines.peakLoads());
    }

    @Test
    void engineWithWrongHoldingsIsOrderedAgainThenExcluded() {
        PlacementFixture fixture = settledFixture(SHAPE);
        SimulatedEngine faulty = fixture.mEngines.engine(engine(2, 0));
        faulty.setWrongHoldings(List.of(PlacementFixture.holding(fixture.model(0), 3, 5)));
        faulty.kill();
        fixture.run(Duration.ofSeconds(5));
        faulty.restart();
        Identity id = faulty.spec().id();
        String exclusion =
                "placement "
                        + id.key()
                        + " excluded from plans: the engine did not carry out its orders";
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.mDecisions.contains(exclusion));
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
        String sent = "order " + id.key() + " sent";
        long ordersSent = fixture.mDecisions.stream().filter(d -> d.startsWith(sent)).count();
        faulty.setWrongHoldings(List.of());
        fixture.runUntil(
                Duration.ofMinutes(20),
                () ->
                        fixture.mDecisions.contains(
                                "placement " + id.key() + " included in plans again"));
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.isSettled());
        assertTrue(ordersSent >= 3);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 1_000})
    void engineWithAnImpossibleReportIsExcluded(int streams) {
        PlacementFixture fixture = settledFixture(SHAPE);
        SimulatedEngine faulty = fixture.mEngines.engine(engine(1, 4));
        faulty.setRunningStreams(streams);
        fixture.run(Duration.ofSeconds(5));
        String prefix = "placement " + faulty.spec().id().key() + " excluded from plans: reports";
        assertTrue(fixture.mDecisions.stream().anyMatch(d -> d.startsWith(prefix)));
        fixture.runUntil(
                SETTLE_TIMEOUT, () -> fixture.everyDomainHasChains() && fixture.isSettled());
    }

    @Test
    void lastChainIsKeptOverADegradedLink() {
        PlacementFixture.Shape small = new PlacementFixture.Shape(2, 2, 1, 1, true);
        PlacementFixture fixture = new PlacementFixture(small);
        fixture.runUntil(SETTLE_TIMEOUT, () -> fixture.throughput(0) > 0);
        assertEquals(0, fixture.throughput(0, "d0"));
        fixture.mLinks = (from, to) -> true;
        fixture.run(Duration.ofMinutes(2));
        assertTrue(fixture.throughput(0) > 0, "the last chain is kept even over a degraded link");
    }

    @Test
    void retiredVersionIsUnloadedAfterItsStreamsEnd() {
        PlacementFixture fixture = settledFixture(SHAPE);
        SimulatedEngine busy =
                fixture.mEngines.engines().stream()
                        .filter(
                                e ->
                                        Holdings.modelVersions(e.holdings())
                                                .contains(fixture.model(1).id()))
                        .findFirst()
                        .orElseThrow();
        busy.setRunningStreams(3);
        Manifest before = fixture.mConfiguration.manifest();
        fixture.configure(
                new Manifest(
                        before.fleets(),
                        before.domains(),
                        before.links(),
                        before.hosts(),
                        before.weightStores(),
                        before.upstreams(),
                        before.modelVersions(),
                        before.adapters(),
                        List.of(PlacementFixture.pipeline("p0", fixture.model(0).id())),
                        before.workspaces(),
                        before.services()));
        fixture.run(Duration.ofMinutes(5));
        assertTrue(Holdings.modelVersions(busy.holdings()).contains(fixture.model(1).id()));
        busy.setRunningStreams(0);
        fixture.runUntil(
                SETTLE_TIMEOUT,
                () ->
                        fixture.mEngines.engines().stream()
                                .noneMatch(
                                        e ->
                                                Holdings.modelVersions(e.holdings())
                                                        .contains(fixture.model(1).id())));
    }
}
