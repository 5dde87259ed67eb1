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
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.name.Identity;

/**
 * Entries of the platform's host directory as last read. The directory may be out of date: an entry
 * that says that a host is leaving is ignored if the daemon of that host started later. Guarded by
 * the lock of the membership.
 */
final class HostDirectoryCache {
    private final MembershipState mState;
    private final Set<Identity> mListedLeaving = new HashSet<>();
    private Map<Identity, ListedHost> mEntries = new TreeMap<>();

    HostDirectoryCache(MembershipState state) {
        mState = state;
    }

    /** Returns the listed hosts of a domain that run a daemon, except this host. */
    List<Identity> daemonsOf(Identity domain) {
        List<Identity> hosts = new ArrayList<>();
        for (ListedHost listed : mEntries.values()) {
            boolean self = listed.host().equals(mState.self().host());
            if (!self && listed.address().isPresent() && listed.domain().equals(domain)) {
                hosts.add(listed.host());
            }
        }
        return hosts;
    }

    /** Returns the domains of the listed hosts that run a daemon. */
    Set<Identity> daemonDomains() {
        Set<Identity> domains = new TreeSet<>();
        for (ListedHost listed : mEntries.values()) {
            if (listed.address().isPresent()) {
                domains.add(listed.domain());
            }
        }
        return domains;
    }

    /** Replaces the entries and applies their leaving states; returns the updates that were new. */
    Updates onRead(List<ListedHost> hosts) {
        Map<Identity, ListedHost> byHost = new TreeMap<>();
        hosts.forEach(listed -> byHost.put(listed.host(), listed));
        mEntries = byHost;
        List<Member> members = new ArrayList<>();
        List<LeavingNotice> notices = new ArrayList<>();
        for (ListedHost listed : hosts) {
            if (listed.leavingSince().isPresent()) {
                mListedLeaving.add(listed.host());
                addLeavingUpdate(listed, listed.leavingSince().get(), members, notices);
            } else if (mListedLeaving.remove(listed.host()) && listed.address().isEmpty()) {
                long nowMs = mState.scheduler().instant().toEpochMilli();
                notices.add(new LeavingNotice(listed.host(), listed.domain(), "", false, nowMs));
            }
        }
        mListedLeaving.retainAll(byHost.keySet());
        return mState.apply(new Updates(members, notices, List.of()));
    }

    private void addLeavingUpdate(
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
