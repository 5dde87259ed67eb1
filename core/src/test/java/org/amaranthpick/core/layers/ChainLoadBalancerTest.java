package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.amaranthpick.core.room.RoomView;
import org.junit.jupiter.api.Test;

class ChainLoadBalancerTest {
    private static final long MS = 1_000_000L;

    private final TokenLatencyEstimator mLatency = new TokenLatencyEstimator();
    private final ChainLoadBalancer mLoadBalancer =
            new ChainLoadBalancer(mLatency, RoomView.unknown(), "home", new SplittableRandom(3));

    /** Sends requests that never end, and counts them by chain. */
    private Map<String, Integer> sendRequests(List<EngineChain> chains, int requests) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            EngineChain chain = mLoadBalancer.leastLoaded(chains, c -> false, i * MS).orElseThrow();
            mLoadBalancer.onSent(chain);
            counts.merge(chain.firstEngine().id(), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void theLocalDomainIsPreferredAmongEquallyLoadedChains() {
        List<EngineChain> chains =
                List.of(
                        LayerFixture.singleEngineChain("h", "home", 1000),
                        LayerFixture.singleEngineChain("x", "away", 1000));
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    "h", mLoadBalancer.leastLoaded(chains, c -> false, 0).get().firstEngine().id());
        }
    }

    /** A burst of callers must not overload any of the chains. */
    @Test
    void aBurstIsSpreadInProportionToMemory() {
        Map<String, Integer> counts =
                sendRequests(
                        List.of(
                                LayerFixture.singleEngineChain("h", "home", 1000),
                                LayerFixture.singleEngineChain("x", "away", 3000)),
                        100);
        assertEquals(25, counts.get("h"), 2);
        assertEquals(75, counts.get("x"), 2);
    }

    /** The local chain becomes four times slower, so its requests also take four times as long. */
    @Test
    void aChainThatSlowsDownGetsFewerRequests() {
        EngineChain slow = LayerFixture.singleEngineChain("h", "home", 1000);
        EngineChain fast = LayerFixture.singleEngineChain("x", "away", 1000);
        Map<String, Integer> counts = new HashMap<>();
        Deque<EngineChain> fastInProgress = new ArrayDeque<>();
        Deque<EngineChain> slowInProgress = new ArrayDeque<>();
        for (int i = 0; i < 400; i++) {
            mLatency.onToken(slow, 60, i * MS);
            EngineChain chain =
                    mLoadBalancer
                            .leastLoaded(List.of(slow, fast), c -> false, i * MS)
                            .orElseThrow();
            mLoadBalancer.onSent(chain);
            counts.merge(chain.firstEngine().id(), 1, Integer::sum);
            (chain.equals(slow) ? slowInProgress : fastInProgress).add(chain);
            if (fastInProgress.size() > 2 || (i % 4 == 0 && !fastInProgress.isEmpty())) {
                mLoadBalancer.onEnded(fastInProgress.poll());
            }
            if (i % 8 == 0 && !slowInProgress.isEmpty()) {
                mLoadBalancer.onEnded(slowInProgress.poll());
            }
        }
        assertTrue(counts.get("x") > 5 * counts.get("h"), counts.toString());
    }

    /**
     * A partitioned chain loses requests at once and so looks idle; it must not attract them all.
     */
    @Test
    void aSuspectChainGetsOneRequestAtATime() {
        EngineChain suspect = LayerFixture.singleEngineChain("h", "home", 1000);
        List<EngineChain> chains =
                List.of(suspect, LayerFixture.singleEngineChain("x", "away", 1000));
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            EngineChain chain =
                    mLoadBalancer.leastLoaded(chains, "h"::equals, i * MS).orElseThrow();
            mLoadBalancer.onSent(chain);
            sent += chain.equals(suspect) ? 1 : 0;
        }
        assertEquals(1, sent);
        mLoadBalancer.onEnded(suspect);
        assertEquals(
                suspect, mLoadBalancer.leastLoaded(chains, "h"::equals, 20 * MS).orElseThrow());
    }

    @Test
    void aChainIsChosenEvenIfAllAreSuspect() {
        List<EngineChain> chains =
                List.of(
                        LayerFixture.singleEngineChain("h", "home", 1000),
                        LayerFixture.singleEngineChain("x", "away", 1000));
        chains.forEach(mLoadBalancer::onSent);
        assertTrue(mLoadBalancer.leastLoaded(chains, c -> true, 0).isPresent());
    }

    @Test
    void noChainIsChosenFromAnEmptyList() {
        assertTrue(mLoadBalancer.leastLoaded(List.of(), c -> false, 0).isEmpty());
    }

    /**
     * Many daemons that know nothing of each other send one request each. All must not start with
     * the chain that has most memory.
     */
    @Test
    void idleDaemonsSpreadOverChainsWithDifferentMemory() {
        List<EngineChain> chains =
                List.of(
                        LayerFixture.singleEngineChain("h", "home", 1000),
                        LayerFixture.singleEngineChain("i", "home", 1500),
                        LayerFixture.singleEngineChain("j", "home", 2000));
        Map<String, Integer> counts = new HashMap<>();
        for (int daemon = 0; daemon < 300; daemon++) {
            ChainLoadBalancer idle =
                    new ChainLoadBalancer(
                            mLatency, RoomView.unknown(), "home", new SplittableRandom(daemon));
            EngineChain chain = idle.leastLoaded(chains, c -> false, 0).orElseThrow();
            counts.merge(chain.firstEngine().id(), 1, Integer::sum);
        }
        assertTrue(counts.get("h") > 300 / 8, counts.toString());
        assertTrue(counts.get("j") < 300 * 5 / 8, counts.toString());
    }

    /** A request on one chain occupies the engine that it shares with another. */
    @Test
    void aSharedEngineIsAsOccupiedOnEachOfItsChains() {
        EngineChain first = LayerFixture.twoStageChain("h", "shared", 1000);
        EngineChain second = LayerFixture.twoStageChain("i", "shared", 1000);
        EngineChain other = LayerFixture.twoStageChain("j", "k", 1000);
        for (int i = 0; i < 10; i++) {
            mLoadBalancer.onSent(first);
        }
        assertEquals(
                other,
                mLoadBalancer.leastLoaded(List.of(second, other), c -> false, 0).orElseThrow());
    }
}
