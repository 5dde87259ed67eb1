package org.amaranthpick.core.observe;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Part of an upstream's status that changes rarely; it is sent only on request, and digests contain
 * its hash.
 *
 * @param bootId identifier of the upstream's current boot
 * @param holdings layers and adapters that the upstream holds
 * @param fence highest fencing number that the upstream has seen, if it honours fencing
 */
record UpstreamMetadata(String bootId, List<UpstreamSpec.Holding> holdings, Optional<Long> fence) {
    static UpstreamMetadata of(UpstreamStatus status) {
        return new UpstreamMetadata(status.bootId(), status.holdings(), status.fence());
    }

    /** Returns a hash that is the same on every host. */
    int stableHash() {
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

    /** Returns a status with this metadata and the load of a digest entry. */
    UpstreamStatus withLoad(LoadEntry entry, long sampledAtMs) {
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

    /** Returns a copy of a status with this metadata. */
    UpstreamStatus applyTo(UpstreamStatus status) {
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
