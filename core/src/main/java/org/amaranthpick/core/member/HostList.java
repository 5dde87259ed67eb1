package org.amaranthpick.core.member;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.name.Identity;

/**
 * Last read of the platform's host list. The list lags: it never overrides what a daemon says of a
 * later start of its own. Guarded by the lock of the membership.
 */
final class HostList {
    private final MembershipState mState;
    private final Set<Identity> mSeenLeaving = new HashSet<>();
    private Map<Identity, ListedHost> mHosts = new TreeMap<>();

    HostList(MembershipState state) {
        mState = state;
    }

    /** Returns the listed hosts of a domain that run a daemon, this one left out. */
    List<Identity> daemonsOf(Identity domain) {
        List<Identity> hosts = new ArrayList<>();
        for (ListedHost listed : mHosts.values()) {
            boolean self = listed.host().equals(mState.self().host());
            if (!self && listed.address().isPresent() && listed.domain().equals(domain)) {
                hosts.add(listed.host());
            }
        }
        return hosts;
    }

    Set<Identity> daemonDomains() {
        Set<Identity> domains = new TreeSet<>();
        for (ListedHost listed : mHosts.values()) {
            if (listed.address().isPresent()) {
                domains.add(listed.domain());
            }
        }
        return domains;
    }

    /** Takes a read of the list; returns what it tells that is new. */
    News onRead(List<ListedHost> hosts) {
        Map<Identity, ListedHost> byHost = new TreeMap<>();
        hosts.forEach(listed -> byHost.put(listed.host(), listed));
        mHosts = byHost;
        List<Member> members = new ArrayList<>();
        List<LeavingNotice> notices = new ArrayList<>();
        for (ListedHost listed : hosts) {
            if (listed.leavingSince().isPresent()) {
                mSeenLeaving.add(listed.host());
                addLeaving(listed, listed.leavingSince().get(), members, notices);
            } else if (mSeenLeaving.remove(listed.host()) && listed.address().isEmpty()) {
                long nowMs = mState.scheduler().instant().toEpochMilli();
                notices.add(new LeavingNotice(listed.host(), listed.domain(), "", false, nowMs));
            }
        }
        mSeenLeaving.retainAll(byHost.keySet());
        return mState.apply(new News(members, notices, List.of()));
    }

    private void addLeaving(
            ListedHost listed, Instant since, List<Member> members, List<LeavingNotice> notices) {
        Optional<Member> member = mState.table().find(listed.host());
        if (member.isPresent()) {
            long startMs = Incarnations.startMs(member.get().incarnation());
            if (since.toEpochMilli() >= startMs && member.get().state() != MemberState.DEAD) {
                members.add(member.get().with(MemberState.LEAVING, member.get().incarnation()));
            }
        } else if (listed.address().isEmpty()) {
            notices.add(
                    new LeavingNotice(
                            listed.host(), listed.domain(), "", true, since.toEpochMilli()));
        }
    }
}
