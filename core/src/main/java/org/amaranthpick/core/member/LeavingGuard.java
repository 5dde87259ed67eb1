package org.amaranthpick.core.member;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;

/** Asserts that nothing new goes to an upstream some time after it was learnt to leave. */
public final class LeavingGuard {
    /** Time allowed from learning that something leaves to the last new work for it. */
    public static final Duration GRACE = Duration.ofSeconds(3);

    private final LeavingView mLeaving;
    private final InstantSource mClock;
    private final Invariants mInvariants;

    /**
     * Creates the guard.
     *
     * @param leaving what is leaving
     * @param clock wall clock
     * @param invariants checks of the process
     */
    public LeavingGuard(LeavingView leaving, InstantSource clock, Invariants invariants) {
        mLeaving = leaving;
        mClock = clock;
        mInvariants = invariants;
    }

    /**
     * Checks one piece of new work just before it is sent.
     *
     * @param upstream receiver
     * @return false if the upstream was known to leave for longer than {@link #GRACE}
     */
    public boolean checkNewWork(UpstreamSpec upstream) {
        Optional<Instant> since = mLeaving.leavingSince(upstream);
        boolean holds = since.isEmpty() || !mClock.instant().isAfter(since.get().plus(GRACE));
        return mInvariants.check(
                Invariant.NOTHING_NEW_TO_LEAVING,
                holds,
                "%s leaves since %s",
                upstream.id(),
                since);
    }
}
