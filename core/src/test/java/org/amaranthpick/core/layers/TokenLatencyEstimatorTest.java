package org.amaranthpick.core.layers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TokenLatencyEstimatorTest {
    private static final long MS = 1_000_000L;

    private final TokenLatencyEstimator mLatency = new TokenLatencyEstimator();
    private final EngineChain mChain = LayerFixture.singleEngineChain("h", "home", 1000);

    @Test
    void observationsDecaySoThatTheChainIsTriedAgain() {
        for (int i = 0; i < 200; i++) {
            mLatency.onToken(mChain, 60, i * MS);
        }
        assertEquals(15, mLatency.expectedMs(mChain, 30_000 * MS), 0.1);
    }
}
