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
}
