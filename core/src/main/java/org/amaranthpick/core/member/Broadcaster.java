package org.amaranthpick.core.member;

import java.time.Duration;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.member.MemberMessage.UrgentUpdates;
import org.amaranthpick.core.name.Identity;

/**
 * Sends updates that must not wait for the next heartbeat. Guarded by the lock of the membership.
 */
final class Broadcaster {
    private static final int REPEATS = 4;
    private static final Duration REPEAT_PERIOD = Duration.ofMillis(500);

    private final Object mLock;
    private final MembershipState mState;

    Broadcaster(Object lock, MembershipState state) {
        mLock = lock;
        mState = state;
    }

    /** Sends updates once to this domain and to the relays of the other domains. */
    void broadcast(Updates updates) {
        broadcastToDomain(updates);
        for (Identity domain : mState.table().domains()) {
            if (!domain.equals(mState.ownDomain())) {
                mState.relays(domain).forEach(r -> mState.send(r, new UrgentUpdates(updates)));
            }
        }
    }

    /** Sends updates once to the other daemons of this domain. */
    void broadcastToDomain(Updates updates) {
        if (!updates.isEmpty()) {
            mState.domainPeers().forEach(m -> mState.send(m, new UrgentUpdates(updates)));
        }
    }

    /**
     * Broadcasts updates now and several more times, so that a lost message does not delay them.
     */
    void broadcastRepeatedly(Updates updates) {
        broadcast(updates);
        for (int i = 1; i <= REPEATS; i++) {
            mState.scheduler().schedule(REPEAT_PERIOD.multipliedBy(i), () -> rebroadcast(updates));
        }
    }

    /**
     * Forwards to this domain updates from another domain: all notices of leaving, and the deaths
     * that were new here.
     */
    void forward(Updates received, Updates applied) {
        broadcastToDomain(received.leavingOnly());
        broadcastToDomain(applied.deadOnly());
    }

    private void rebroadcast(Updates updates) {
        synchronized (mLock) {
            broadcast(updates);
        }
    }
}
