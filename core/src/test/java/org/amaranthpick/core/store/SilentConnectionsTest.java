package org.amaranthpick.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays every moment at which the open connections go silent against every moment at which the
 * store acknowledges a change from then on.
 */
class SilentConnectionsTest {
    private static final long STEP_MS = 50;
    private static final long WARM_MS = 5000;

    /** Changes during which the connections go silent, so that some fall into the batching. */
    private static final List<Long> CHANGES_MS = List.of(5900L, 6100L, 6700L, 7600L, 8300L);

    @ParameterizedTest
    @CsvSource({
        "2000,3000,12",
        "3000,4000,140",
        "4000,5000,440",
        "2000,2000,440",
        "3000,3000,440",
        "4000,2000,440"
    })
    void aChangeIsInForceWithinTheLongerOfBothBounds(
            long maxChangeDelayMs, long stableWindowMs, int daemons) {
        for (long silentMs = WARM_MS; silentMs <= WARM_MS + 8000; silentMs += STEP_MS) {
            for (long ackMs = silentMs; ackMs <= silentMs + stableWindowMs; ackMs += STEP_MS) {
                SimulatedStore site = site(maxChangeDelayMs, stableWindowMs, daemons);
                site.mSilentMs = silentMs;
                site.mAckMs = ackMs;
                site.advanceTo(Math.max(silentMs + stableWindowMs, ackMs + maxChangeDelayMs));
                assertTrue(
                        site.mInForce >= site.revisionAt(ackMs),
                        "silent at %d, acknowledged at %d".formatted(silentMs, ackMs));
            }
        }
    }

    private static SimulatedStore site(long maxChangeDelayMs, long stableWindowMs, int daemons) {
        SimulatedStore store =
                new SimulatedStore(
                        new VirtualScheduler(Instant.EPOCH),
                        new FollowTimings(
                                Duration.ofMillis(maxChangeDelayMs),
                                Duration.ofMillis(stableWindowMs)),
                        daemons,
                        CHANGES_MS);
        store.follow(store, 1);
        return store;
    }

    @ParameterizedTest
    @CsvSource({"2000,3000,52", "3000,4000,36", "4000,5000,28"})
    void twoCalmMinutesCostOneCallForEachProof(
            long maxChangeDelayMs, long stableWindowMs, int calls) {
        SimulatedStore site = site(maxChangeDelayMs, stableWindowMs, 12);
        site.advanceTo(60_000);
        int before = site.mCalls;
        site.advanceTo(180_000);
        assertEquals(calls, site.mCalls - before);
    }
}
