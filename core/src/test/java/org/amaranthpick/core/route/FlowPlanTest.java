package org.amaranthpick.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthpick.core.name.Identity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FlowPlanTest {
    /**
     * Layers times tokens per second of an engine of speed 1, with one prompt token per generated
     * token.
     */
    private static final double UNIT_CAPACITY = 1 / (1 / 40_000.0 + 1 / 400_000.0);

    private static FlowPlan plan(FleetFixture fleet) {
        List<Engine> engines =
                fleet.directory().engines(fleet.build(), FleetFixture.MODEL.id(), Optional.empty());
        return new ModelGraph(
                        FleetFixture.MODEL,
                        engines,
                        new LinkCosts(fleet.configuration()),
                        new EngineCapacity(id -> 1),
                        (from, to) -> 1)
                .solve();
    }

    private static Optional<List<ChainStep>> sample(FlowPlan plan, RandomGenerator random) {
        return plan.sampleOutside(
                Set.of(), random, engines -> Optional.of(engines.members().sample(random)));
    }

    /**
     * The flow equals the capacity of the slowest cut. An engine spends its capacity on the layers
     * that it holds, so one that holds fewer layers carries more tokens.
     */
    @ParameterizedTest
    @CsvSource({
        "0-40, 40",
        "0-20 20-40, 20",
        "0-20 0-20 20-40, 20",
        "0-20 20-40 0-40, 13.33",
        "0-30 10-40, 20",
        "0-10 10-40, 30",
    })
    void flowEqualsTheSlowestCut(String ranges, double layersPerEngine) {
        FleetFixture fleet = new FleetFixture().withDomain("kl-a", "kl");
        int engineCount = 0;
        for (String range : ranges.split(" ", -1)) {
            String[] ends = range.split("-", -1);
            fleet.withEngine(
                    "e" + engineCount++,
                    "kl-a",
                    1,
                    Integer.parseInt(ends[0]),
                    Integer.parseInt(ends[1]));
        }
        FlowPlan plan = plan(fleet);
        double expected = UNIT_CAPACITY / layersPerEngine;
        assertTrue(
                plan.tokensPerSecond() >= 0.95 * expected,
                plan.tokensPerSecond() + " of " + expected);
        assertTrue(plan.tokensPerSecond() <= 1.001 * expected);
        assertTrue(plan.boundTokensPerSecond() >= plan.tokensPerSecond() * 0.999);
    }

    /**
     * The flow between two domains is bounded by the bandwidth of their link if that is slow, else
     * by the engines.
     */
    @ParameterizedTest
    @CsvSource({"1000000, 61", "100000000, 909"})
    void slowLinkBoundsTheFlowBetweenDomains(long bytesPerSecond, double tokensPerSecond) {
        FleetFixture fleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withLink("kl-a", "kl-b", Duration.ofMillis(1), bytesPerSecond)
                        .withEngine("a", "kl-a", 0.5, 0, 20)
                        .withEngine("b", "kl-b", 1, 20, 40);
        assertEquals(tokensPerSecond, plan(fleet).tokensPerSecond(), tokensPerSecond * 0.01);
    }

    @Test
    void chainsStayLocalWhereLocalEnginesSuffice() {
        FleetFixture fleet = new FleetFixture().withDomain("kl-a", "kl").withDomain("kl-b", "kl");
        for (String domain : List.of("kl-a", "kl-b")) {
            fleet.withEngine(domain + "-1", domain, 1, 0, 20)
                    .withEngine(domain + "-2", domain, 1, 20, 40);
        }
        FlowPlan plan = plan(fleet);
        RandomGenerator random = new Random(3);
        for (int i = 0; i < 1_000; i++) {
            List<ChainStep> steps = sample(plan, random).orElseThrow();
            assertEquals(1, steps.stream().map(step -> step.engine().domain()).distinct().count());
        }
    }

    /** Sampled chains load all engines in proportion to their speed, whatever layers they hold. */
    @Test
    void samplesLoadEnginesInProportionToSpeed() {
        FleetFixture fleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withEngine("a1", "kl-a", 1, 0, 20)
                        .withEngine("a2", "kl-a", 3, 0, 20)
                        .withEngine("a3", "kl-a", 2, 20, 40)
                        .withEngine("b1", "kl-b", 2, 20, 40)
                        .withEngine("b2", "kl-b", 1, 0, 40);
        FlowPlan plan = plan(fleet);
        RandomGenerator random = new Random(4);
        Map<Identity, Double> workByEngine = new HashMap<>();
        int samples = 20_000;
        for (int i = 0; i < samples; i++) {
            for (ChainStep step : sample(plan, random).orElseThrow()) {
                workByEngine.merge(
                        step.engine().id(),
                        step.layers().size()
                                / step.engine().accelerator().decodeLayerTokensPerSecond(),
                        Double::sum);
            }
        }
        double maxWork =
                workByEngine.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double meanWork =
                workByEngine.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
        assertEquals(5, workByEngine.size());
        assertTrue(meanWork >= 0.95 * maxWork, "busiest engine " + maxWork + ", mean " + meanWork);
    }

    /**
     * For any fleet, sampled chains cover all layers exactly once and the flow does not exceed the
     * bound.
     */
    @Property(seed = "20260106", tries = 150)
    void samplesCoverAllLayersOnce(@ForAll int seed) {
        RandomGenerator random = new Random(seed);
        FleetFixture fleet = new FleetFixture().withDomain("kl-a", "kl").withDomain("kl-b", "kl");
        int engines = 2 + random.nextInt(10);
        for (int i = 0; i < engines; i++) {
            int from = 5 * random.nextInt(8);
            int to = from + 5 * (1 + random.nextInt(8 - from / 5));
            String domain = random.nextBoolean() ? "kl-a" : "kl-b";
            fleet.withEngine("e" + i, domain, 1 + random.nextInt(4), from, to);
        }
        FlowPlan plan = plan(fleet);
        assertTrue(plan.tokensPerSecond() <= plan.boundTokensPerSecond() + 1e-6);
        for (int i = 0; i < 20 && plan.tokensPerSecond() > 0; i++) {
            Optional<List<ChainStep>> steps = sample(plan, random);
            steps.ifPresent(
                    found -> {
                        List<Hop> hops =
                                found.stream()
                                        .map(
                                                step ->
                                                        new Hop(
                                                                step.engine().id(),
                                                                step.layers(),
                                                                new KvSource.Compute()))
                                        .toList();
                        assertEquals(40, new Chain(FleetFixture.MODEL.id(), hops).layers().to());
                    });
        }
    }
}
