package org.amaranthpick.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.amaranthpick.core.member.Member;
import org.amaranthpick.core.member.MemberView;
import org.amaranthpick.core.member.Rendezvous;
import org.amaranthpick.core.name.Identity;

/**
 * Which daemons of a domain watch the store and keep count of generations in force. Follows from
 * the membership.
 */
final class DomainRoles {
    /** Daemons of each domain that watch the root and keep count. */
    static final int WATCHERS = 2;

    private final MemberView mMembers;

    DomainRoles(MemberView members) {
        mMembers = members;
    }

    Member self() {
        return mMembers.self();
    }

    /** Returns the daemons of a domain that are not dead, this one included. */
    List<Member> liveOf(Identity domain) {
        List<Member> live = new ArrayList<>();
        for (Member member : mMembers.members()) {
            if (member.domain().equals(domain)) {
                live.add(member);
            }
        }
        return live;
    }

    List<Member> ownDomain() {
        return liveOf(self().domain());
    }

    List<Member> everyone() {
        return mMembers.members();
    }

    Set<Identity> domains() {
        Set<Identity> domains = new TreeSet<>();
        mMembers.members().forEach(member -> domains.add(member.domain()));
        domains.add(self().domain());
        return domains;
    }

    /** Returns the watchers of a domain, by rank. */
    List<Member> watchers(Identity domain) {
        List<Member> live = liveOf(domain);
        List<Member> working = live.stream().filter(m -> m.state().acceptsWork()).toList();
        return Rendezvous.rank(
                "config " + domain.key(), working.isEmpty() ? live : working, WATCHERS);
    }

    boolean isWatcher() {
        List<Member> watchers = watchers(self().domain());
        return watchers.isEmpty()
                || watchers.stream().anyMatch(m -> m.host().equals(self().host()));
    }
}
