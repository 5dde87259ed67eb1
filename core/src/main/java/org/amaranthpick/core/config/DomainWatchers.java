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
 * Chooses the watchers of each domain: the daemons that watch the stored root and track which
 * generation is in force on the daemons of the domain. Follows from the membership, so that all
 * daemons with the same view choose the same watchers.
 */
final class DomainWatchers {
    /** Number of watchers chosen in each domain. */
    static final int WATCHERS_PER_DOMAIN = 2;

    private final MemberView mMembers;

    DomainWatchers(MemberView members) {
        mMembers = members;
    }

    Member self() {
        return mMembers.self();
    }

    /** Returns the daemons of a domain that are not dead, this one included. */
    List<Member> membersOf(Identity domain) {
        List<Member> live = new ArrayList<>();
        for (Member member : mMembers.members()) {
            if (member.domain().equals(domain)) {
                live.add(member);
            }
        }
        return live;
    }

    List<Member> ownDomainMembers() {
        return membersOf(self().domain());
    }

    List<Member> allMembers() {
        return mMembers.members();
    }

    Set<Identity> domains() {
        Set<Identity> domains = new TreeSet<>();
        mMembers.members().forEach(member -> domains.add(member.domain()));
        domains.add(self().domain());
        return domains;
    }

    /** Returns the watchers of a domain by rank; daemons that accept work are preferred. */
    List<Member> watchers(Identity domain) {
        List<Member> live = membersOf(domain);
        List<Member> acceptingWork = live.stream().filter(m -> m.state().acceptsWork()).toList();
        return Rendezvous.rank(
                "config " + domain.key(),
                acceptingWork.isEmpty() ? live : acceptingWork,
                WATCHERS_PER_DOMAIN);
    }

    boolean isWatcher() {
        List<Member> watchers = watchers(self().domain());
        return watchers.isEmpty()
                || watchers.stream().anyMatch(m -> m.host().equals(self().host()));
    }
}
