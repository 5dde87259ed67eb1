package org.amaranthpick.core.register;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.VirtualScheduler;
import org.junit.jupiter.api.Test;

class DaemonCounterTest {
    private static final Duration SETTLED = Duration.ofSeconds(40);

    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final MemoryObjectStore mStore = new MemoryObjectStore();
    private final List<DaemonCounter> mCounters = new ArrayList<>();

    private void startDaemon() {
        String host = "host-" + mCounters.size();
        DaemonCounter counter =
                new DaemonCounter(
                        mStore,
                        new WriterTokens(host, mCounters.size()),
                        host,
                        "domain-" + mCounters.size() % 2,
                        Optional.of("10.0.0.1:" + mCounters.size()),
                        mScheduler,
                        Runnable::run,
                        new SplittableRandom(mCounters.size()));
        mCounters.add(counter);
        counter.start(count -> {});
    }

    private void assertAllCounted() {
        for (DaemonCounter counter : mCounters) {
            assertEquals(mCounters.size(), counter.count());
            assertEquals(mCounters.size() - 1, counter.peers().size());
        }
    }

    /** Shares of limits that are computed from too small a count add up to more than the limit. */
    @Test
    void daemonsWhoseRegistrationTheStoreLostAreStillCounted() {
        startDaemon();
        startDaemon();
        MemoryObjectStore.Copy copy = mStore.copy();
        startDaemon();
        mScheduler.advance(SETTLED);
        assertAllCounted();
        mStore.restore(copy);
        for (int s = 0; s < SETTLED.toSeconds(); s++) {
            mScheduler.advance(Duration.ofSeconds(1));
            assertAllCounted();
        }
        assertEquals(mCounters.size(), mStore.copy().objects().size());
    }

    /** An earlier release registers without its domain, and runs beside this one in an upgrade. */
    @Test
    void aDaemonThatRegisteredWithoutADomainIsCountedAndReached() {
        mStore.write(
                "gateways/old",
                new WriteCondition.Absent(),
                "{\"peerAddress\":\"10.0.0.2:1\"}".getBytes(StandardCharsets.UTF_8),
                new WriterTokens("old", 1).next());
        startDaemon();
        startDaemon();
        mScheduler.advance(SETTLED);
        assertEquals(3, mCounters.get(0).count());
        assertEquals(
                List.of(new PeerDaemon("10.0.0.1:1", "domain-1"), new PeerDaemon("10.0.0.2:1", "")),
                mCounters.get(0).daemons());
    }
}
