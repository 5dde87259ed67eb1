package org.amaranthpick.core.observe;

import org.amaranthpick.core.observe.UpstreamObservation.Reachability;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Load of one upstream in a digest, in small integers.
 *
 * @param code code of the upstream, see {@link UpstreamCodes}
 * @param ageMs age of the sample when the digest was sent, in milliseconds
 * @param streams streams running
 * @param queuedBucket prompt tokens waiting, as a bucket of {@link Quantizer}
 * @param memoryBucket free memory in MiB, as a bucket of {@link Quantizer}
 * @param flags leaving in bit 0, reachability in the bits above
 * @param facts short digest of what changes rarely: boot, holdings, fence
 */
record LoadEntry(
        int code,
        int ageMs,
        int streams,
        int queuedBucket,
        int memoryBucket,
        int flags,
        int facts) {
    private static final int MIB_SHIFT = 20;
    private static final int SUSPECT_CODE = 1;
    private static final int LOST_CODE = 2;
    private static final int FACTS_MASK = 0xffff;

    /** Creates the entry of an observation. */
    static LoadEntry of(int code, int ageMs, UpstreamObservation seen) {
        UpstreamStatus status = seen.status();
        return new LoadEntry(
                code,
                ageMs,
                status.runningStreams(),
                Quantizer.bucket(status.queuedTokens()),
                Quantizer.bucket(status.freeMemoryBytes() >> MIB_SHIFT),
                (status.leaving() ? 1 : 0) | code(seen.reachability()) << 1,
                facts(status));
    }

    /** Returns the short digest of what changes rarely. */
    static int facts(UpstreamStatus status) {
        return StatusFacts.of(status).digest() & FACTS_MASK;
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
        return Quantizer.value(memoryBucket) << MIB_SHIFT;
    }

    /** Tells whether another entry tells of the same state, apart from its age. */
    boolean sameLoad(LoadEntry other) {
        return streams == other.streams
                && queuedBucket == other.queuedBucket
                && memoryBucket == other.memoryBucket
                && sameFacts(other);
    }

    /** Tells whether another entry agrees on what must be told at once. */
    boolean sameFacts(LoadEntry other) {
        return flags == other.flags && facts == other.facts;
    }
}
