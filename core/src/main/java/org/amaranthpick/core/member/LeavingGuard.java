package org.amaranthpick.core.member;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.manifest.UpstreamSpec;

/** Checks that no new work is sent to an upstream that has been leaving for some time. */
public final class LeavingGuard {
    /**
     * Time after learning that an upstream is leaving in which new work may still be sent to it.
     */
    public static final Duration GRACE = Duration.ofSeconds(3);

    private final LeavingView mLeaving;
    private final InstantSource mClock;
    private final Invariants mInvariants;

    /**
     * Creates the guard.
     *
     * @param leaving hosts and upstreams that are leaving
     * @param clock wall clock
     * @param invariants counts violations
     */
    public LeavingGuard(LeavingView leaving, InstantSource clock, Invariants invariants) {
        mLeaving = leaving;
        mClock = clock;
        mInvariants = invariants;
    }

    /**
     * Checks one piece of new work just before it is sent.
     *
     * @param upstream upstream that will receive it
     * @return false if the upstream has been known to be leaving for longer than {@link #GRACE}
     */
    public boolean checkNewWork(UpstreamSpec upstream) {
        Optional<Instant> since = mLeaving.leavingSince(upstream);
        boolean holds = since.isEmpty() || !mClock.instant().isAfter(since.get().plus(GRACE));
        return mInvariants.check(
                Invariant.NOTHING_NEW_TO_LEAVING,
                holds,
                "new work for %s, which has been leaving since %s",
                upstream.id(),
                since);
    }
}
