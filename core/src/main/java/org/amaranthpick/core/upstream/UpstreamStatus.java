package org.amaranthpick.core.upstream;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * Status that an upstream reports about itself. It may be out of date.
 *
 * @param bootId id of the upstream's process start
 * @param sampledAtMs time of the sample by the upstream's clock, in milliseconds
 * @param leaving true if the upstream is draining and accepts no new work
 * @param holdings model versions, layers and adapters that the upstream holds
 * @param runningStreams number of running streams
 * @param queuedTokens number of prompt tokens queued or in prefill
 * @param freeMemoryBytes free memory for weights, adapters and KV cache
 * @param fence highest fencing token seen, if the upstream supports fencing
 * @param eventSequence sequence number of the last cache event
 */
public record UpstreamStatus(
        String bootId,
        long sampledAtMs,
        boolean leaving,
        List<UpstreamSpec.Holding> holdings,
        int runningStreams,
        long queuedTokens,
        long freeMemoryBytes,
        Optional<Long> fence,
        long eventSequence) {
    /** Creates the status with a copy of the list. */
    public UpstreamStatus {
        holdings = List.copyOf(holdings);
    }
}
