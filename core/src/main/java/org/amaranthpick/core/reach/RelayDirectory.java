package org.amaranthpick.core.reach;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Chooses the daemons through which requests reach upstreams whose direct paths are broken. Of two
 * daemons that have relayed lately the one with fewer requests of this daemon is taken. Now and
 * then another one is tried, so that the load spreads over all that can relay. Daemons that refused
 * or did not answer are left out for a time. One that is full or leaving refuses further paths and
 * finishes those that are open. Confined to one thread.
 */
public final class RelayDirectory {
    /** Time for which a daemon that opened a path counts as proven. */
    private static final Duration PROVEN_TIME = Duration.ofSeconds(10);

    /** Fraction of the choices that try a daemon that is not proven. */
    private static final double EXPLORATION = 0.125;

    private static final Duration FULL_EXCLUSION = Duration.ofMillis(250);
    private static final Duration PARTITIONED_EXCLUSION = Duration.ofSeconds(1);
    private static final Duration UNREACHABLE_EXCLUSION = Duration.ofSeconds(2);
    private static final Duration LEAVING_EXCLUSION = Duration.ofSeconds(10);

    private final Supplier<List<String>> mPeers;
    private final RandomGenerator mRandom;
    private final Map<String, PeerState> mStates = new HashMap<>();

    private static final class PeerState {
        private int mInProgress;
        private long mProvenUntilNs = Long.MIN_VALUE;
        private long mExcludedUntilNs = Long.MIN_VALUE;
        private boolean mFinishes;
    }

    /**
     * Creates a directory.
     *
     * @param peers returns the addresses of the other daemons
     * @param random source of the choice
     */
    public RelayDirectory(Supplier<List<String>> peers, RandomGenerator random) {
        mPeers = peers;
        mRandom = random;
    }

    /**
     * Chooses a daemon.
     *
     * @param tried daemons that have been asked for the same path already
     * @param nowNs monotonic time
     * @return address of the daemon, empty if none is left
     */
    public Optional<String> choose(Set<String> tried, long nowNs) {
        List<String> proven = new ArrayList<>();
        List<String> others = new ArrayList<>();
        for (String peer : mPeers.get()) {
            if (!tried.contains(peer) && !isExcluded(peer, nowNs)) {
                PeerState state = mStates.get(peer);
                boolean isProven = state != null && nowNs < state.mProvenUntilNs;
                (isProven ? proven : others).add(peer);
            }
        }
        boolean explores = proven.isEmpty() || mRandom.nextDouble() < EXPLORATION;
        if (explores && !others.isEmpty()) {
            return Optional.of(others.get(mRandom.nextInt(others.size())));
        }
        if (proven.isEmpty()) {
            return Optional.empty();
        }
        String first = proven.get(mRandom.nextInt(proven.size()));
        String second = proven.get(mRandom.nextInt(proven.size()));
        return Optional.of(inProgress(first) <= inProgress(second) ? first : second);
    }

    /**
     * Checks whether any daemon may be asked.
     *
     * @param nowNs monotonic time
     * @return false if there is none, or all refused lately or did not answer
     */
    public boolean hasUsable(long nowNs) {
        return mPeers.get().stream().anyMatch(peer -> !isExcluded(peer, nowNs));
    }

    /**
     * Checks whether a daemon that is asked for no further paths finishes those that are open.
     *
     * @param peer address of the daemon
     * @param nowNs monotonic time
     * @return true if it said lately that it is full or leaving
     */
    public boolean finishesOpenPaths(String peer, long nowNs) {
        return isExcluded(peer, nowNs) && mStates.get(peer).mFinishes;
    }

    /**
     * Checks whether there are other daemons at all.
     *
     * @return true if none is known
     */
    public boolean isEmpty() {
        return mPeers.get().isEmpty();
    }

    /**
     * Records that a daemon opened a path; {@link #onEnded} follows.
     *
     * @param peer address of the daemon
     * @param nowNs monotonic time
     */
    public void onOpened(String peer, long nowNs) {
        PeerState state = state(peer);
        state.mInProgress++;
        state.mProvenUntilNs = nowNs + PROVEN_TIME.toNanos();
    }

    /**
     * Records the end of a path that had been opened.
     *
     * @param peer address of the daemon
     */
    public void onEnded(String peer) {
        PeerState state = state(peer);
        state.mInProgress = Math.max(0, state.mInProgress - 1);
    }

    /**
     * Records that a daemon refused to open a path.
     *
     * @param peer address of the daemon
     * @param status its answer
     * @param nowNs monotonic time
     */
    public void onRefused(String peer, RelayReply.Status status, long nowNs) {
        switch (status) {
            case FULL -> exclude(peer, FULL_EXCLUSION, true, nowNs);
            case PARTITIONED -> exclude(peer, PARTITIONED_EXCLUSION, false, nowNs);
            case LEAVING -> exclude(peer, LEAVING_EXCLUSION, true, nowNs);
            default -> {
                // What it says of the upstream says nothing of the daemon.
            }
        }
    }

    /**
     * Records that a daemon did not answer, or broke off what it relayed.
     *
     * @param peer address of the daemon
     * @param nowNs monotonic time
     */
    public void onUnreachable(String peer, long nowNs) {
        exclude(peer, UNREACHABLE_EXCLUSION, false, nowNs);
    }

    private void exclude(String peer, Duration duration, boolean finishes, long nowNs) {
        PeerState state = state(peer);
        state.mFinishes = finishes;
        state.mExcludedUntilNs = nowNs + duration.toNanos();
        state.mProvenUntilNs = Long.MIN_VALUE;
    }

    private boolean isExcluded(String peer, long nowNs) {
        PeerState state = mStates.get(peer);
        return state != null && nowNs < state.mExcludedUntilNs;
    }

    private int inProgress(String peer) {
        PeerState state = mStates.get(peer);
        return state == null ? 0 : state.mInProgress;
    }

    private PeerState state(String peer) {
        if (!mStates.containsKey(peer)) {
            mStates.keySet().retainAll(Set.copyOf(mPeers.get()));
        }
        return mStates.computeIfAbsent(peer, key -> new PeerState());
    }
}
