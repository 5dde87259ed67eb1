package org.amaranthpick.server.gateway;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.placement.LeaseManager;

/**
 * Candidacy of a daemon for the lease under which engines are ordered. In a large fleet only a few
 * daemons are candidates; they are drawn again with each new number of daemons.
 */
final class LeaseCandidacy {
    /** Number of candidates' ranks; distinct ranks poll and take over at different times. */
    private static final int RANKS = 8;

    private final LeaseManager mLease;
    private final RandomGenerator mRandom;
    private int mRank;

    /**
     * Creates the candidacy of a daemon.
     *
     * @param lease the lease
     * @param random source of the ranks
     */
    LeaseCandidacy(LeaseManager lease, RandomGenerator random) {
        mLease = lease;
        mRandom = random;
        mRank = random.nextInt(RANKS);
    }

    /** Draws the rank again, unless this daemon holds the lease. */
    void onDaemonCount(int daemons) {
        if (mLease.held().isEmpty()) {
            mRank = mRandom.nextInt(Math.max(RANKS, daemons));
        }
    }

    /**
     * Acquires or renews the lease. A daemon that reaches no engine hands it on, as another may.
     *
     * @param synced whether this daemon knows the configuration and the engines
     * @param partitioned whether it has reached no engine for long
     */
    void step(boolean synced, boolean partitioned) {
        if (partitioned && mLease.held().isPresent()) {
            mLease.release();
        }
        boolean candidate = synced && mRank < RANKS && !partitioned;
        mLease.step(candidate ? Optional.of(mRank) : Optional.empty());
    }
}
