package org.amaranthpick.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

class ChainSearchTest {
    private static final HopCostModel UNIT_COST_MODEL =
            new HopCostModel() {
                @Override
                public CostedHop hopCost(Engine engine, LayerRange layers) {
                    Hop hop = new Hop(engine.id(), layers, new KvSource.Compute());
                    return new CostedHop(hop, layers.size());
                }

                @Override
                public long linkNs(Identity fromDomain, Identity toDomain) {
                    return 1;
                }
            };

    /**
     * A chain is found if and only if every layer is held by some engine. It then covers all layers
     * and uses no engine twice.
     */
    @Property(seed = "20260104", tries = 300)
    void findsChainExactlyWhenEveryLayerIsHeld(
            @ForAll @IntRange(min = 1, max = 8) int engines, @ForAll int seed) {
        RandomGenerator random = new Random(seed);
        FleetFixture fleet = new FleetFixture().withDomain("kl-a", "kl");
        boolean[] held = new boolean[FleetFixture.MODEL.layers()];
        for (int i = 0; i < engines; i++) {
            int from = random.nextInt(40);
            int to = from + 1 + random.nextInt(40 - from);
            fleet.withEngine("e" + i, "kl-a", 1, from, to);
            for (int layer = from; layer < to; layer++) {
                held[layer] = true;
            }
        }
        boolean allHeld = true;
        for (boolean layer : held) {
            allHeld &= layer;
        }
        List<Engine> allEngines =
                fleet.directory()
                        .engines(
                                fleet.build(), FleetFixture.MODEL.id(), java.util.Optional.empty());
        var hops = new ChainSearch(40, UNIT_COST_MODEL).cheapest(allEngines);
        assertEquals(allHeld, hops.isPresent());
        hops.ifPresent(
                found -> {
                    Chain chain = new Chain(FleetFixture.MODEL.id(), found);
                    assertEquals(new LayerRange(0, 40), chain.layers());
                    List<Identity> usedUpstreams =
                            new ArrayList<>(found.stream().map(Hop::upstream).toList());
                    assertEquals(usedUpstreams.size(), usedUpstreams.stream().distinct().count());
                });
    }

    @Property(seed = "20260105", tries = 20)
    void refusesWhenAnUpstreamIsMissing(@ForAll @IntRange(min = 0, max = 1) int missing) {
        FleetFixture fleet =
                new FleetFixture()
                        .withDomain("kl-a", "kl")
                        .withEngine("e0", "kl-a", 1, 0, 20)
                        .withEngine("e1", "kl-a", 1, 20, 40)
                        .withoutEngine("e" + missing);
        fleet.build();
        ChainChooser chooser = new CheapestChainChooser(fleet.directory());
        assertInstanceOf(ChainDecision.NoChain.class, chooser.choose(fleet.request("r1")));
    }
}
