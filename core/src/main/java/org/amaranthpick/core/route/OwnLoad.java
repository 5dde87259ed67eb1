package org.amaranthpick.core.route;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Work that this daemon sent to upstreams and that their last reports cannot show yet. Thread-safe;
 * one lock per upstream.
 */
final class OwnLoad {
    private final Scheduler mScheduler;
    private final Map<Identity, Lane> mLanes = new ConcurrentHashMap<>();
    private final Map<ChainRef, Sent> mSent = new ConcurrentHashMap<>();

    /** Chain by identity, since equal chains may be in use at once. */
    private record ChainRef(Chain chain) {
        @Override
        @SuppressWarnings("ReferenceEquality")
        public boolean equals(Object other) {
            return other instanceof ChainRef ref && ref.chain == chain;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(chain);
        }
    }

    /** Attempt that was sent. */
    private static final class Sent {
        private final long mAtMs;
        private final int mTokens;
        private volatile boolean mPrefilled;

        Sent(long atMs, int tokens) {
            mAtMs = atMs;
            mTokens = tokens;
        }
    }

    /** Attempts that use one upstream. */
    private static final class Lane {
        private final List<Sent> mSent = new ArrayList<>();
    }

    /**
     * Own work that a report does not show.
     *
     * @param promptTokens prompt tokens sent and not answered by a first token
     * @param streams streams started and not ended
     */
    record Pending(long promptTokens, int streams) {
        static final Pending NONE = new Pending(0, 0);
    }

    OwnLoad(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void onSent(Chain chain, int tokens) {
        Sent sent = new Sent(mScheduler.instant().toEpochMilli(), tokens);
        if (mSent.putIfAbsent(new ChainRef(chain), sent) != null) {
            return;
        }
        for (Hop hop : chain.hops()) {
            Lane lane = mLanes.computeIfAbsent(hop.upstream(), key -> new Lane());
            synchronized (lane) {
                lane.mSent.add(sent);
            }
        }
    }

    void onFirstToken(Chain chain) {
        Sent sent = mSent.get(new ChainRef(chain));
        if (sent != null) {
            sent.mPrefilled = true;
        }
    }

    void onEnded(Chain chain) {
        Sent sent = mSent.remove(new ChainRef(chain));
        if (sent == null) {
            return;
        }
        for (Hop hop : chain.hops()) {
            Lane lane = mLanes.get(hop.upstream());
            synchronized (lane) {
                lane.mSent.remove(sent);
            }
        }
    }

    /**
     * Sums the own work that a report does not show.
     *
     * @param upstream the upstream
     * @param sampledAt time of the report, empty if there is none
     * @return pending work
     */
    Pending pending(Identity upstream, Optional<Instant> sampledAt) {
        Lane lane = mLanes.get(upstream);
        if (lane == null) {
            return Pending.NONE;
        }
        long sinceMs = sampledAt.map(Instant::toEpochMilli).orElse(Long.MIN_VALUE);
        long tokens = 0;
        int streams = 0;
        synchronized (lane) {
            for (int i = lane.mSent.size() - 1; i >= 0; i--) {
                Sent sent = lane.mSent.get(i);
                if (sent.mAtMs < sinceMs) {
                    break;
                }
                streams++;
                tokens += sent.mPrefilled ? 0 : sent.mTokens;
            }
        }
        return new Pending(tokens, streams);
    }

    /**
     * Counts the own streams at an upstream.
     *
     * @param upstream the upstream
     * @return attempts sent and not ended
     */
    int streams(Identity upstream) {
        return pending(upstream, Optional.empty()).streams();
    }
}
