package org.amaranthpick.server.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.RequestRateLimits;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamRegister;
import org.amaranthpick.core.time.VirtualScheduler;
import org.amaranthpick.server.Workers;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** One probe that threw ended the probes of all paths, and was never tried again itself. */
class PathProberTest {
    private final VirtualScheduler mScheduler = new VirtualScheduler(Instant.EPOCH);
    private final List<String> mFailures = new ArrayList<>();

    private static UpstreamEntry upstream(String id, String address) {
        return new UpstreamEntry(
                id, "app", address, "z", false, 1, Optional.empty(), Optional.empty(), 1, 0);
    }

    @Test
    void probesThatThrowAreTriedAgainAndTheOthersStillRun() {
        UpstreamRegister register = new UpstreamRegister();
        UpstreamPaths paths = new UpstreamPaths();
        for (String id : List.of("u1", "u2")) {
            register.put(upstream(id, "not an address"));
            paths.onBroken(id);
        }
        mScheduler.setOnTaskFailed((task, e) -> mFailures.add(task));
        XnioWorker worker = Workers.start();
        try (HttpConnector connector =
                new HttpConnector(
                        worker,
                        mScheduler,
                        new ConnectorSettings(1, 1, Duration.ofSeconds(1), Duration.ZERO))) {
            UpstreamAdmission admission =
                    new UpstreamAdmission(
                            new RequestRateLimits(
                                    "", List::of, () -> 1, id -> true, new SplittableRandom(1)));
            PathProber prober =
                    new PathProber(
                            paths,
                            register,
                            admission,
                            connector,
                            mScheduler,
                            new SplittableRandom(1));
            prober.step();
            prober.step();
        } finally {
            worker.shutdownNow();
        }
        assertEquals(List.of("probes", "probes", "probes", "probes"), mFailures);
    }
}
