package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/**
 * Daemon of the cluster with its current state.
 *
 * @param host identity of kind HOST
 * @param address peer address by IP number
 * @param domain failure domain
 * @param region region of the domain
 * @param incarnation grows with each process start and each refuted suspicion
 * @param state state as last known
 */
public record Member(
        Identity host,
        PeerAddress address,
        Identity domain,
        String region,
        long incarnation,
        MemberState state) {

    /**
     * Returns a copy of this member in another state.
     *
     * @param newState new state
     * @param newIncarnation incarnation that the state applies to
     * @return copy
     */
    public Member with(MemberState newState, long newIncarnation) {
        return new Member(host, address, domain, region, newIncarnation, newState);
    }
}
