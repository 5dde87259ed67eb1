package org.amaranthpick.bench.wave;

import java.time.Instant;
import org.amaranthpick.core.observe.UpstreamObservation;

/** State of an engine at one moment, told later. */
final class WaveSnapshot {
    private final UpstreamObservation mSeen;

    WaveSnapshot(FakeEngine engine, Instant at) {
        mSeen =
                new UpstreamObservation(
                        engine.spec().id(),
                        engine.status(),
                        at,
                        UpstreamObservation.Reachability.REACHABLE);
    }

    void tell(WaveDaemon daemon) {
        daemon.observe(mSeen);
    }
}
