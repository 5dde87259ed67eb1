package org.amaranthpick.core.observe;

import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Entry of a digest: the state of one upstream, encoded as small integers.
 *
 * @param code code of the upstream from {@link UpstreamCodes}
 * @param ageMs age of the sample when the digest was sent, in milliseconds
 * @param streams number of running streams
 * @param queuedBucket queued prompt tokens, as a bucket of {@link Quantizer}
 * @param freeMemoryBucket free memory in MiB, as a bucket of {@link Quantizer}
 * @param flags bit 0: leaving; bits above: code of the reachability
 * @param metadataHash low 16 bits of the hash of the {@link UpstreamMetadata}
 */
record LoadEntry(
        int code,
        int ageMs,
        int streams,
        int queuedBucket,
        int freeMemoryBucket,
        int flags,
        int metadataHash) {
    private static final int MIB_SHIFT = 20;
    private static final int SUSPECT_CODE = 1;
    private static final int LOST_CODE = 2;
    private static final int METADATA_HASH_MASK = 0xffff;

    /** Creates the entry for an observation. */
    static LoadEntry of(int code, int ageMs, UpstreamObservation observation) {
        UpstreamStatus status = observation.status();
        return new LoadEntry(
                code,
                ageMs,
                status.runningStreams(),
                Quantizer.bucket(status.queuedTokens()),
                Quantizer.bucket(status.freeMemoryBytes() >> MIB_SHIFT),
                (status.leaving() ? 1 : 0) | code(observation.reachability()) << 1,
                metadataHash(status));
    }

    /** Returns the low 16 bits of the hash of a status's metadata. */
    static int metadataHash(UpstreamStatus status) {
        return UpstreamMetadata.of(status).stableHash() & METADATA_HASH_MASK;
    }

    boolean leaving() {
        return (flags & 1) != 0;
    }

    Reachability reachability() {
        int code = flags >> 1;
        if (code == SUSPECT_CODE) {
            return Reachability.SUSPECT;
        }
        return code == 0 ? Reachability.REACHABLE : Reachability.LOST;
    }

    private static int code(Reachability reachability) {
        if (reachability == Reachability.SUSPECT) {
            return SUSPECT_CODE;
        }
        return reachability == Reachability.LOST ? LOST_CODE : 0;
    }

    long freeMemoryBytes() {
        return Quantizer.value(freeMemoryBucket) << MIB_SHIFT;
    }

    /** Returns whether another entry has the same state, regardless of its age. */
    boolean hasSameState(LoadEntry other) {
        return streams == other.streams
                && queuedBucket == other.queuedBucket
                && freeMemoryBucket == other.freeMemoryBucket
                && hasSameUrgentState(other);
    }

    /**
     * Returns whether another entry has the same leaving flag, reachability and metadata, whose
     * changes are sent at once.
     */
    boolean hasSameUrgentState(LoadEntry other) {
        return flags == other.flags && metadataHash == other.metadataHash;
    }
}
