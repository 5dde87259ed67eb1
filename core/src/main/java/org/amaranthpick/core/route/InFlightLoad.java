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
 * Work that this daemon has sent to upstreams since their last reports, which therefore do not
 * include it. Thread-safe; there is one lock per upstream.
 */
final class InFlightLoad {
    private final Scheduler mScheduler;
    private final Map<Identity, UpstreamAttempts> mAttemptsByUpstream = new ConcurrentHashMap<>();
    private final Map<ChainRef, SentAttempt> mAttemptsByChain = new ConcurrentHashMap<>();

    /** Chain compared by reference, since equal chains may be in use at the same time. */
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

    /** Attempt that has been sent. */
    private static final class SentAttempt {
        private final long mSentAtMs;
        private final int mPromptTokens;
        private volatile boolean mFirstTokenSeen;

        SentAttempt(long sentAtMs, int promptTokens) {
            mSentAtMs = sentAtMs;
            mPromptTokens = promptTokens;
        }
    }

    /** Attempts in progress that use one upstream, in the order in which they were sent. */
    private static final class UpstreamAttempts {
        private final List<SentAttempt> mAttempts = new ArrayList<>();
    }

    /**
     * Work of this daemon that a report does not include.
     *
     * @param promptTokens prompt tokens of attempts without a first token
     * @param streams attempts in progress
     */
    record Pending(long promptTokens, int streams) {
        static final Pending NONE = new Pending(0, 0);
    }

    InFlightLoad(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    void onSent(Chain chain, int tokens) {
        SentAttempt attempt = new SentAttempt(mScheduler.instant().toEpochMilli(), tokens);
        if (mAttemptsByChain.putIfAbsent(new ChainRef(chain), attempt) != null) {
            return;
        }
        for (Hop hop : chain.hops()) {
            UpstreamAttempts attempts =
                    mAttemptsByUpstream.computeIfAbsent(
                            hop.upstream(), key -> new UpstreamAttempts());
            synchronized (attempts) {
                attempts.mAttempts.add(attempt);
            }
        }
    }

    void onFirstToken(Chain chain) {
        SentAttempt attempt = mAttemptsByChain.get(new ChainRef(chain));
        if (attempt != null) {
            attempt.mFirstTokenSeen = true;
        }
    }

    void onEnded(Chain chain) {
        SentAttempt attempt = mAttemptsByChain.remove(new ChainRef(chain));
        if (attempt == null) {
            return;
        }
        for (Hop hop : chain.hops()) {
            UpstreamAttempts attempts = mAttemptsByUpstream.get(hop.upstream());
            synchronized (attempts) {
                attempts.mAttempts.remove(attempt);
            }
        }
    }

    /**
     * Sums the work of this daemon that a report does not include.
     *
     * @param upstream identity of kind UPSTREAM
     * @param sampledAt time of the report, empty if there is none
     * @return pending work
     */
    Pending pending(Identity upstream, Optional<Instant> sampledAt) {
        UpstreamAttempts attempts = mAttemptsByUpstream.get(upstream);
        if (attempts == null) {
            return Pending.NONE;
        }
        long sinceMs = sampledAt.map(Instant::toEpochMilli).orElse(Long.MIN_VALUE);
        long tokens = 0;
        int streams = 0;
        synchronized (attempts) {
            for (int i = attempts.mAttempts.size() - 1; i >= 0; i--) {
                SentAttempt attempt = attempts.mAttempts.get(i);
                if (attempt.mSentAtMs < sinceMs) {
                    break;
                }
                streams++;
                tokens += attempt.mFirstTokenSeen ? 0 : attempt.mPromptTokens;
            }
        }
        return new Pending(tokens, streams);
    }

    /**
     * Counts the streams of this daemon at an upstream.
     *
     * @param upstream identity of kind UPSTREAM
     * @return attempts in progress
     */
    int streams(Identity upstream) {
        return pending(upstream, Optional.empty()).streams();
    }
}
