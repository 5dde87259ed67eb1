package org.amaranthpick.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.observe.PrefixIndex;
import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.placement.RoutingHold;
import org.amaranthpick.core.retry.OutlierEjection;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class FlowChainChooserTest {
    private static final Identity ADAPTER = FleetFixture.id(ResourceKind.ADAPTER, "tone");

    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final Invariants mInvariants = new Invariants();
    private final PrefixIndex mPrefixes = new PrefixIndex(10_000);
    private FleetFixture mFleet = twoStages();
    private Routing mRouting;

    /** Reason why an engine accepts no new work. */
    private enum Unavailability {
        LEAVING,
        LOST,
        EXCLUDED,
        HELD,
        EJECTED,
        REMOVED
    }

    /** Returns a fleet of two domains, each with two engines for each half of the layers. */
    private static FleetFixture twoStages() {
        FleetFixture fleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withLink("kl-a", "kl-b", Duration.ofMillis(1), 1_000_000_000);
        for (String domain : List.of("kl-a", "kl-b")) {
            for (int i = 0; i < 2; i++) {
                fleet.withEngine(domain + "-low" + i, domain, 1, 0, 20)
                        .withEngine(domain + "-high" + i, domain, 1, 20, 40);
            }
        }
        return fleet;
    }

    private void start(Set<Identity> ejected) {
        OutlierEjection ejection =
                new OutlierEjection() {
                    @Override
                    public void onSuccess(Identity upstream) {}

                    @Override
                    public void onFailure(Identity upstream, String reason) {}

                    @Override
                    public boolean ejected(Identity upstream) {
                        return ejected.contains(upstream);
                    }
                };
        FleetFixture fleet = mFleet;
        Routing.Context context =
                new Routing.Context(
                        FleetFixture.domain("kl-a"),
                        fleet.board(),
                        () -> Optional.of(fleet.configuration()),
                        mScheduler,
                        42,
                        mInvariants);
        mRouting = new Routing(context, ejection, id -> 1, mPrefixes);
        fleet.observeAll(mScheduler.instant());
        step();
    }

    private void step() {
        mRouting.controllers().forEach(controller -> controller.step());
    }

    private Chain choose(ChainRequest request) {
        ChainDecision decision = mRouting.chainChooser().choose(request);
        return assertInstanceOf(ChainDecision.Chosen.class, decision).chain();
    }

    /**
     * An engine that accepts no new work gets none, both before and after the flow plan is
     * recomputed.
     */
    @ParameterizedTest
    @EnumSource(Unavailability.class)
    void unavailableEngineGetsNoNewWork(Unavailability reason) {
        Identity unavailable = FleetFixture.engine("kl-a-low0");
        start(reason == Unavailability.EJECTED ? Set.of(unavailable) : Set.of());
        ChainRequest request = mFleet.request("r");
        Set<Identity> excluded = reason == Unavailability.EXCLUDED ? Set.of(unavailable) : Set.of();
        if (reason == Unavailability.LEAVING) {
            mFleet.observe(mFleet.spec("kl-a-low0"), mScheduler.instant(), 0, 0, true);
        } else if (reason == Unavailability.LOST) {
            mFleet.setReachability("kl-a-low0", Reachability.LOST);
        } else if (reason == Unavailability.HELD) {
            mFleet.board()
                    .routingHolds()
                    .put(
                            unavailable,
                            new RoutingHold(
                                    unavailable,
                                    Set.of(FleetFixture.MODEL.id()),
                                    1,
                                    mScheduler.instant()));
        } else if (reason == Unavailability.REMOVED) {
            mFleet.withoutEngine("kl-a-low0").build();
        }
        for (int i = 0; i < 200; i++) {
            if (i == 100) {
                step();
                mScheduler.advance(LeavingUpstreamMonitor.GRACE_TIME.plusSeconds(1));
                step();
            }
            ChainRequest repeated =
                    new ChainRequest(
                            "r" + i,
                            request.configuration(),
                            FleetFixture.MODEL,
                            Optional.empty(),
                            100,
                            0,
                            50,
                            List.of(),
                            excluded,
                            Optional.empty(),
                            Optional.empty());
            assertFalse(choose(repeated).uses(unavailable));
        }
        assertEquals(0, mInvariants.total());
    }

    /** New work for a leaving upstream violates the invariant after the grace time, not before. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2_999, 3_001, 10_000})
    void newWorkAfterTheGraceTimeViolatesTheInvariant(int afterMs) {
        start(Set.of());
        mFleet.observe(mFleet.spec("kl-a-low0"), mScheduler.instant(), 0, 0, true);
        LeavingUpstreamMonitor monitor =
                new LeavingUpstreamMonitor(
                        mFleet.board(),
                        () -> Optional.of(mFleet.configuration()),
                        mScheduler,
                        mInvariants);
        monitor.step();
        mScheduler.advance(Duration.ofMillis(afterMs));
        monitor.check(FleetFixture.engine("kl-a-low0"));
        long expected = afterMs > 3_000 ? 1 : 0;
        assertEquals(expected, mInvariants.violations(Invariant.NOTHING_NEW_TO_LEAVING));
    }

    @Test
    void staysInTheLocalDomainUntilAnotherIsCheaper() {
        start(Set.of());
        Map<Identity, Integer> idleUses = countHopsByDomain(300);
        assertEquals(Set.of(FleetFixture.domain("kl-a")), idleUses.keySet());
        Instant now = mScheduler.instant();
        for (String name : List.of("kl-a-low0", "kl-a-low1", "kl-a-high0", "kl-a-high1")) {
            mFleet.observe(mFleet.spec(name), now, 10, 50_000, false);
        }
        assertTrue(countHopsByDomain(300).getOrDefault(FleetFixture.domain("kl-b"), 0) > 200);
    }

    private Map<Identity, Integer> countHopsByDomain(int requests) {
        Map<Identity, Integer> domains = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            for (Hop hop : choose(mFleet.request("r" + i)).hops()) {
                Identity domain =
                        mFleet.configuration().upstream(hop.upstream()).orElseThrow().domain();
                domains.merge(domain, 1, Integer::sum);
            }
        }
        return domains;
    }

    /**
     * Requests sent since the last report are counted immediately, so that a burst does not go to
     * the engines that the report shows as idle.
     */
    @Test
    void burstBetweenReportsIsSpread() {
        start(Set.of());
        Map<Identity, Integer> uses = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            Chain chain = choose(mFleet.request("r" + i));
            mRouting.feedback().onSent(chain, 100);
            chain.hops().forEach(hop -> uses.merge(hop.upstream(), 1, Integer::sum));
        }
        int maxUses = uses.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(8, uses.size());
        assertTrue(maxUses <= 1.3 * 400 * 2 / 8, "busiest engine got " + maxUses);
    }

    @Test
    void onlyEnginesWithTheAdapterAreChosen() {
        mFleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withPipeline("tone", Optional.of(ADAPTER))
                        .withEngine("plain", "kl-a", 4, 0, 40)
                        .withEngine("tone", "kl-a", 1, 0, 40, ADAPTER);
        start(Set.of());
        ChainRequest request =
                mFleet.request("r", Optional.of(ADAPTER), Set.of(), Optional.empty(), 0);
        for (int i = 0; i < 50; i++) {
            assertTrue(choose(request).uses(FleetFixture.engine("tone")));
        }
    }

    /**
     * A repaired chain keeps the remaining engines and recomputes only the layers of the lost one.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void repairRecomputesOnlyTheLostLayers(int lostHop) {
        start(Set.of());
        Chain first = choose(mFleet.request("r"));
        Identity lost = first.hops().get(lostHop).upstream();
        ChainRequest resume =
                mFleet.request("r", Optional.empty(), Set.of(lost), Optional.of(first), 30);
        Chain repaired = choose(resume);
        assertFalse(repaired.uses(lost));
        Hop kept = repaired.hops().get(1 - lostHop);
        assertEquals(first.hops().get(1 - lostHop).upstream(), kept.upstream());
        assertEquals(new KvSource.Keep(), kept.kv());
        assertEquals(new KvSource.Compute(), repaired.hops().get(lostHop).kv());
    }

    /**
     * The KV cache of a leaving engine is imported if its link is fast enough to make that cheaper
     * than recomputing it.
     */
    @ParameterizedTest
    @ValueSource(longs = {10_000, 1_000_000_000})
    void kvCacheOfLeavingEngineIsImportedIfCheaper(long bytesPerSecond) {
        mFleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withLink("kl-a", "kl-a", Duration.ofMillis(1), bytesPerSecond)
                        .withEngine("old", "kl-a", 1, 0, 40)
                        .withEngine("new", "kl-a", 1, 0, 40);
        start(Set.of());
        Chain first =
                new Chain(
                        FleetFixture.MODEL.id(),
                        List.of(
                                new Hop(
                                        FleetFixture.engine("old"),
                                        new LayerRange(0, 40),
                                        new KvSource.Compute())));
        mFleet.observe(mFleet.spec("old"), mScheduler.instant(), 0, 0, true);
        Chain repaired =
                choose(mFleet.request("r", Optional.empty(), Set.of(), Optional.of(first), 30));
        KvSource expected =
                bytesPerSecond > 1_000_000
                        ? new KvSource.Import(FleetFixture.engine("old"))
                        : new KvSource.Compute();
        assertEquals(FleetFixture.engine("new"), repaired.hops().get(0).upstream());
        assertEquals(expected, repaired.hops().get(0).kv());
    }

    /**
     * Requests with equal prefixes are sent to the same engines while these are not busier than
     * others.
     */
    @Test
    void equalPrefixesUseTheSameEngines() {
        start(Set.of());
        List<Long> hashes =
                PrefixHasher.hashes(
                        FleetFixture.id(ResourceKind.WORKSPACE, "planner"),
                        FleetFixture.MODEL.id(),
                        Optional.empty(),
                        "week plan ".repeat(200));
        ChainRequest plain = mFleet.request("r");
        Map<Chain, Integer> chains = new HashMap<>();
        for (int i = 0; i < 50; i++) {
            ChainRequest request =
                    new ChainRequest(
                            "r" + i,
                            plain.configuration(),
                            FleetFixture.MODEL,
                            Optional.empty(),
                            500,
                            0,
                            50,
                            hashes,
                            Set.of(),
                            Optional.empty(),
                            Optional.empty());
            Chain chain = choose(request);
            mRouting.feedback().onSent(chain, 10);
            mRouting.feedback().onFirstToken(chain, Duration.ofMillis(50));
            mRouting.feedback().onEnded(chain);
            chains.merge(chain, 1, Integer::sum);
        }
        assertTrue(chains.values().stream().anyMatch(count -> count >= 45), chains.toString());
    }

    /**
     * A link that becomes slow is detected from first tokens and avoided; it is only tried again
     * occasionally.
     */
    @Test
    void degradedLinkIsAvoided() {
        mFleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withDomain("kl-c", "kl")
                        .withEngine("b", "kl-b", 1, 0, 40)
                        .withEngine("c", "kl-c", 1, 0, 40);
        start(Set.of());
        int slowChoices = 0;
        for (int i = 0; i < 400; i++) {
            Chain chain = choose(mFleet.request("r" + i));
            mRouting.feedback().onSent(chain, 100);
            boolean slow = chain.uses(FleetFixture.engine("b"));
            slowChoices += slow && i >= 200 ? 1 : 0;
            mRouting.feedback().onFirstToken(chain, Duration.ofMillis(slow ? 900 : 30));
            mRouting.feedback().onEnded(chain);
            mScheduler.advance(Duration.ofMillis(20));
        }
        assertTrue(slowChoices <= 20, slowChoices + " of 200 requests took the slow link");
    }

    @Test
    void reasonNamesTheMissingLayer() {
        mFleet = new FleetFixture().withDomain("kl-a", "kl").withEngine("low", "kl-a", 1, 0, 20);
        start(Set.of());
        ChainDecision decision = mRouting.chainChooser().choose(mFleet.request("r"));
        String reason = assertInstanceOf(ChainDecision.NoChain.class, decision).reason();
        assertTrue(reason.startsWith("layer 20 of kenanga/planner-7"), reason);
    }
}
