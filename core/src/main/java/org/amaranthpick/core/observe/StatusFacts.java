package org.amaranthpick.core.observe;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Part of a status that changes rarely.
 *
 * @param bootId boot of the upstream
 * @param holdings what it holds
 * @param fence highest fencing number seen, if it honours fencing
 */
record StatusFacts(String bootId, List<UpstreamSpec.Holding> holdings, Optional<Long> fence) {
    static StatusFacts of(UpstreamStatus status) {
        return new StatusFacts(status.bootId(), status.holdings(), status.fence());
    }

    /** Returns a digest that is equal on every host. */
    int digest() {
        HashStream64 stream = Hashing.komihash5_0().hashStream();
        stream.putString(bootId).putLong(fence.orElse(-1L));
        for (UpstreamSpec.Holding holding : holdings) {
            stream.putString(holding.modelVersion().key());
            stream.putInt(holding.layers().from()).putInt(holding.layers().to());
            for (Identity adapter : holding.adapters()) {
                stream.putString(adapter.key());
            }
        }
        return (int) stream.getAsLong();
    }

    /** Joins the facts with the load of a digest entry. */
    UpstreamStatus status(LoadEntry entry, long sampledAtMs) {
        return new UpstreamStatus(
                bootId,
                sampledAtMs,
                entry.leaving(),
                holdings,
                entry.streams(),
                Quantizer.value(entry.queuedBucket()),
                entry.freeMemoryBytes(),
                fence,
                0);
    }

    /** Replaces the facts of a status. */
    UpstreamStatus appliedTo(UpstreamStatus status) {
        return new UpstreamStatus(
                bootId,
                status.sampledAtMs(),
                status.leaving(),
                holdings,
                status.runningStreams(),
                status.queuedTokens(),
                status.freeMemoryBytes(),
                fence,
                status.eventSequence());
    }
}
