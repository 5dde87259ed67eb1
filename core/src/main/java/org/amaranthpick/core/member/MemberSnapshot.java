package org.amaranthpick.core.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * Membership as seen by readers. Written under the lock of the membership, read without a lock:
 * each field holds an immutable value that is replaced as a whole.
 */
final class MemberSnapshot implements MemberView {
    private long mVersion = -1;
    private volatile Member mSelf;
    private volatile List<Member> mMembers = List.of();
    private volatile Map<Identity, Member> mByHost = Map.of();
    private volatile Map<Identity, PeerAddress> mListedAddresses = Map.of();
    private volatile Set<Identity> mUnreachable = Set.of();

    MemberSnapshot(Member self) {
        mSelf = self;
    }

    @Override
    public Member self() {
        return mSelf;
    }

    @Override
    public List<Member> members() {
        return mMembers;
    }

    @Override
    public Optional<Member> member(Identity host) {
        return Optional.ofNullable(mByHost.get(host));
    }

    @Override
    public boolean isReachable(Member member) {
        return !mUnreachable.contains(member.domain());
    }

    Set<Identity> unreachableDomains() {
        return mUnreachable;
    }

    Optional<PeerAddress> addressOf(Identity host) {
        Optional<PeerAddress> known = member(host).map(Member::address);
        return known.isPresent() ? known : Optional.ofNullable(mListedAddresses.get(host));
    }

    /** Copies the current member table, if it has changed. */
    void refresh(MembershipState state) {
        mSelf = state.self();
        if (mVersion == state.table().version()) {
            return;
        }
        mVersion = state.table().version();
        mMembers = List.copyOf(state.table().live());
        Map<Identity, Member> byHost = new HashMap<>();
        mMembers.forEach(member -> byHost.put(member.host(), member));
        mByHost = Map.copyOf(byHost);
    }

    void setUnreachable(Set<Identity> domains) {
        mUnreachable = Set.copyOf(domains);
    }

    void setListedAddresses(List<ListedHost> hosts) {
        Map<Identity, PeerAddress> addresses = new HashMap<>();
        for (ListedHost listed : hosts) {
            listed.address().ifPresent(address -> addresses.put(listed.host(), address));
        }
        mListedAddresses = Map.copyOf(addresses);
    }
}
