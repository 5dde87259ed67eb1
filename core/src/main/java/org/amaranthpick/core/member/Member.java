package org.amaranthpick.core.member;

import org.amaranthpick.core.name.Identity;

/**
 * One daemon.
 *
 * @param host identity of kind HOST
 * @param address peer address by IP number
 * @param domain failure domain
 * @param region region of the domain
 * @param incarnation grows with each process start and each refuted suspicion
 * @param state state believed
 */
public record Member(
        Identity host,
        PeerAddress address,
        Identity domain,
        String region,
        long incarnation,
        MemberState state) {

    /**
     * Returns this member in another state.
     *
     * @param newState state
     * @param newIncarnation incarnation that the state is told of
     * @return changed copy
     */
    public Member with(MemberState newState, long newIncarnation) {
        return new Member(host, address, domain, region, newIncarnation, newState);
    }
}
