package org.amaranthpick.core.member;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** Read access to the membership. Never blocks. */
public interface MemberView {
    /**
     * Returns this daemon.
     *
     * @return member record of this daemon
     */
    Member self();

    /**
     * Returns every known daemon, this one included.
     *
     * @return members sorted by host, without dead ones
     */
    List<Member> members();

    /**
     * Finds a daemon.
     *
     * @param host identity of kind HOST
     * @return the member, if known and not dead
     */
    Optional<Member> member(Identity host);

    /**
     * Returns whether the domain of a daemon can be reached from this domain. The daemons of an
     * unreachable domain stay members.
     *
     * @param member member
     * @return false while no relay of this domain receives heartbeats of the member's domain
     */
    default boolean isReachable(Member member) {
        return true;
    }
}
