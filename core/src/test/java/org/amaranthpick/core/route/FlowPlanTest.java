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
    /** Layer-tokens per second of an engine of speed 1 at one prompt token per token. */
    private static final double UNIT = 1 / (1 / 40_000.0 + 1 / 400_000.0);

    private static FlowPlan plan(Fleet fleet) {
        List<Engine> engines =
                fleet.directory().engines(fleet.build(), Fleet.MODEL.id(), Optional.empty());
        return new ModelGraph(
                        Fleet.MODEL,
                        engines,
                        new LinkCosts(fleet.configuration()),
                        new EngineCapacity(id -> 1),
                        (from, to) -> 1)
                .solve();
    }

    private static Optional<List<Step>> sample(FlowPlan plan, RandomGenerator random) {
        return plan.sampleOutside(
                Set.of(), random, engines -> Optional.of(engines.members().draw(random)));
    }

    /** Engines that hold a part use all their speed for it; an engine that holds all shares it. */
    @ParameterizedTest
    @CsvSource({
        "0-40, 40",
        "0-20 20-40, 20",
        "0-20 0-20 20-40, 20",
        "0-20 20-40 0-40, 13.33",
        "0-30 10-40, 20",
        "0-10 10-40, 30",
    })
    void boundIsTheSlowestCut(String ranges, double layersPerEngine) {
        Fleet fleet = new Fleet().withDomain("kl-a", "kl");
        int next = 0;
        for (String range : ranges.split(" ", -1)) {
            String[] ends = range.split("-", -1);
            fleet.withEngine(
                    "e" + next++, "kl-a", 1, Integer.parseInt(ends[0]), Integer.parseInt(ends[1]));
        }
        FlowPlan plan = plan(fleet);
        double expected = UNIT / layersPerEngine;
        assertTrue(
                plan.tokensPerSecond() >= 0.95 * expected,
                plan.tokensPerSecond() + " of " + expected);
        assertTrue(plan.tokensPerSecond() <= 1.001 * expected);
        assertTrue(plan.boundTokensPerSecond() >= plan.tokensPerSecond() * 0.999);
    }

    /**
     * A slow link carries no more than its bandwidth, and only what the domains cannot do alone.
     */
    @ParameterizedTest
    @CsvSource({"1000000, 61", "100000000, 909"})
    void linksBoundTheFlowBetweenDomains(long bytesPerSecond, double tokensPerSecond) {
        Fleet fleet =
                new Fleet()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withLink("kl-a", "kl-b", Duration.ofMillis(1), bytesPerSecond)
                        .withEngine("a", "kl-a", 0.5, 0, 20)
                        .withEngine("b", "kl-b", 1, 20, 40);
        assertEquals(tokensPerSecond, plan(fleet).tokensPerSecond(), tokensPerSecond * 0.01);
    }

    @Test
    void chainsStayLocalWhereLocalEnginesSuffice() {
        Fleet fleet = new Fleet().withDomain("kl-a", "kl").withDomain("kl-b", "kl");
        for (String domain : List.of("kl-a", "kl-b")) {
            fleet.withEngine(domain + "-1", domain, 1, 0, 20)
                    .withEngine(domain + "-2", domain, 1, 20, 40);
        }
        FlowPlan plan = plan(fleet);
        RandomGenerator random = new Random(3);
        for (int i = 0; i < 1_000; i++) {
            List<Step> steps = sample(plan, random).orElseThrow();
            assertEquals(1, steps.stream().map(step -> step.engine().domain()).distinct().count());
        }
    }

    /** Sampled chains load every engine in proportion to its speed, whatever the ranges. */
    @Test
    void samplesFollowTheFlow() {
        Fleet fleet =
                new Fleet()
                        .withDomain("kl-a", "kl")
                        .withDomain("kl-b", "kl")
                        .withEngine("a1", "kl-a", 1, 0, 20)
                        .withEngine("a2", "kl-a", 3, 0, 20)
                        .withEngine("a3", "kl-a", 2, 20, 40)
                        .withEngine("b1", "kl-b", 2, 20, 40)
                        .withEngine("b2", "kl-b", 1, 0, 40);
        FlowPlan plan = plan(fleet);
        RandomGenerator random = new Random(4);
        Map<Identity, Double> work = new HashMap<>();
        int samples = 20_000;
        for (int i = 0; i < samples; i++) {
            for (Step step : sample(plan, random).orElseThrow()) {
                work.merge(
                        step.engine().id(),
                        step.layers().size()
                                / step.engine().accelerator().decodeLayerTokensPerSecond(),
                        Double::sum);
            }
        }
        double most = work.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        double mean = work.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
        assertEquals(5, work.size());
        assertTrue(mean >= 0.95 * most, "busiest engine " + most + ", mean " + mean);
    }

    /** Whatever the fleet, samples cover all layers once and the flow is within the bound. */
    @Property(seed = "20260106", tries = 150)
    void samplesAreWholeChains(@ForAll int seed) {
        RandomGenerator random = new Random(seed);
        Fleet fleet = new Fleet().withDomain("kl-a", "kl").withDomain("kl-b", "kl");
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
            Optional<List<Step>> steps = sample(plan, random);
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
                        assertEquals(40, new Chain(Fleet.MODEL.id(), hops).layers().to());
                    });
        }
    }
}
