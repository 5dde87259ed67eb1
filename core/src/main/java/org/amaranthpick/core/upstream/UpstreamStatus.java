package org.amaranthpick.core.upstream;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;

/**
 * State that an upstream reports of itself. It lags.
 *
 * @param bootId changes with each start of the upstream
 * @param sampledAtMs upstream's own clock at the sample, milliseconds
 * @param leaving true if it takes no new work
 * @param holdings model versions, layers and adapters that it holds
 * @param runningStreams streams running
 * @param queuedTokens prompt tokens waiting or in prefill
 * @param freeMemoryBytes memory free for weights, adapters and KV cache
 * @param fence highest fencing number seen, if it honours fencing
 * @param eventSequence number of the last cache event
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
    /** Copies the list. */
    public UpstreamStatus {
        holdings = List.copyOf(holdings);
    }
}
