package org.amaranthpick.core.placement;

import java.util.Optional;
import org.amaranthpick.core.manifest.AcceleratorSpec;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Finds reports of engines that cannot be true. */
final class StatusCheck {
    private StatusCheck() {}

    /**
     * Checks one report.
     *
     * @param accelerator what the engine runs on
     * @param status its report
     * @return what is wrong, empty if the report may be true
     */
    static Optional<String> fault(AcceleratorSpec accelerator, UpstreamStatus status) {
        if (status.runningStreams() < 0 || status.runningStreams() > accelerator.maxStreams()) {
            return Optional.of(
                    "reports "
                            + status.runningStreams()
                            + " streams, of "
                            + accelerator.maxStreams()
                            + " at most; restart it");
        }
        if (status.freeMemoryBytes() > accelerator.memoryBytes()) {
            return Optional.of("reports more memory free than it has; restart it");
        }
        if (status.queuedTokens() < 0) {
            return Optional.of("reports a negative queue; restart it");
        }
        return Optional.empty();
    }
}
