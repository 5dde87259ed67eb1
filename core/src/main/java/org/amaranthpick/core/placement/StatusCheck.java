package org.amaranthpick.core.placement;

import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Detects engine reports that cannot be true. */
final class StatusCheck {
    private StatusCheck() {}

    /**
     * Checks one report.
     *
     * @param accelerator accelerators of the engine
     * @param status report of the engine
     * @return description of the fault, empty if the report is plausible
     */
    static Optional<String> fault(AcceleratorSpec accelerator, UpstreamStatus status) {
        if (status.runningStreams() < 0 || status.runningStreams() > accelerator.maxStreams()) {
            return Optional.of(
                    "reports "
                            + status.runningStreams()
                            + " streams with a maximum of "
                            + accelerator.maxStreams()
                            + "; restart it");
        }
        if (status.freeMemoryBytes() > accelerator.memoryBytes()) {
            return Optional.of("reports more free memory than it has; restart it");
        }
        if (status.queuedTokens() < 0) {
            return Optional.of("reports a negative queue; restart it");
        }
        return Optional.empty();
    }
}
