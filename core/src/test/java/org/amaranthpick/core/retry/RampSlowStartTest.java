package org.amaranthpick.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.route.FleetFixture;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RampSlowStartTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(FleetFixture.ORIGIN);
    private final FleetFixture mFleet =
            new FleetFixture()
                    .withDomain("kl-a", "kl")
                    .withEngine("old", "kl-a", 1, 0, 40)
                    .withEngine("new", "kl-a", 1, 0, 40);
    private final RampSlowStart mSlowStart = new RampSlowStart(mFleet.board(), mScheduler);

    /** New and restarted engines ramp up; those present when the daemon starts are warm. */
    @ParameterizedTest
    @CsvSource({"0, 0.125", "10, 0.375", "29, 1.0", "60, 1.0"})
    void newEnginesRampUp(int seconds, double share) {
        UpstreamSpec old = mFleet.spec("old");
        UpstreamSpec added = mFleet.spec("new");
        mFleet.observe(old, mScheduler.instant(), 0, 0, false);
        mSlowStart.step();
        mScheduler.advance(Duration.ofSeconds(5));
        mFleet.observe(added, mScheduler.instant(), 0, 0, false);
        mSlowStart.step();
        mScheduler.advance(Duration.ofSeconds(seconds));
        assertEquals(1.0, mSlowStart.capacityShare(old.id()));
        assertEquals(share, mSlowStart.capacityShare(added.id()));
        restart(old);
        mSlowStart.step();
        assertEquals(0.125, mSlowStart.capacityShare(old.id()));
    }

    private void restart(UpstreamSpec spec) {
        UpstreamObservation last = mFleet.board().upstreams().get(spec.id()).orElseThrow();
        UpstreamStatus status = last.status();
        UpstreamStatus restarted =
                new UpstreamStatus(
                        "boot-2",
                        0,
                        false,
                        status.holdings(),
                        0,
                        0,
                        status.freeMemoryBytes(),
                        status.fence(),
                        0);
        mFleet.board()
                .upstreams()
                .put(
                        spec.id(),
                        new UpstreamObservation(
                                spec.id(), restarted, last.sampledAt(), last.reachability()));
    }
}
