package org.amaranthpick.core.member;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.name.Identity;

/** Read access to the membership. Never waits. */
public interface MemberView {
    /**
     * Returns this daemon.
     *
     * @return self
     */
    Member self();

    /**
     * Returns every known daemon, self included.
     *
     * @return members sorted by host, dead ones left out
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
     * Tells whether the domain of a daemon can be reached from this domain. A daemon of a domain
     * that is cut off stays a member.
     *
     * @param member member
     * @return false while no relay of this domain hears of the member's domain
     */
    default boolean isReachable(Member member) {
        return true;
    }
}
