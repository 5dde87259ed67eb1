package org.amaranthpick.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * Records of daemons by domain. A higher incarnation wins; within one incarnation the state that is
 * further along wins: alive, suspect, leaving, dead. Guarded by the lock of the membership.
 */
final class MemberTable {
    private static final List<MemberState> PRECEDENCE =
            List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD);

    private final Map<Identity, Map<Identity, Row>> mDomains = new HashMap<>();
    private final Map<Identity, Identity> mDomainOf = new HashMap<>();
    private final Map<PeerAddress, Identity> mByAddress = new HashMap<>();
    private final Map<Identity, Long> mDigests = new HashMap<>();
    private long mTotalDigest;
    private long mVersion;

    /**
     * Record with the time of its last change.
     *
     * @param member record
     * @param changedNs monotonic time of the last change
     */
    record Row(Member member, long changedNs) {}

    /**
     * Takes a record if it is ahead of the one held.
     *
     * @return records that changed; more than one if the address was taken over
     */
    List<Member> merge(Member told, long nowNs) {
        Optional<Member> held = find(told.host());
        if (held.isPresent() && !isAhead(told, held.get())) {
            return List.of();
        }
        List<Member> changed = new ArrayList<>();
        if (told.state() != MemberState.DEAD) {
            earlierAt(told).ifPresent(dead -> changed.add(put(dead, nowNs)));
        }
        changed.add(put(told, nowNs));
        return changed;
    }

    static boolean isAhead(Member told, Member held) {
        if (told.incarnation() != held.incarnation()) {
            return told.incarnation() > held.incarnation();
        }
        return PRECEDENCE.indexOf(told.state()) > PRECEDENCE.indexOf(held.state());
    }

    Optional<Member> find(Identity host) {
        Identity domain = mDomainOf.get(host);
        return domain == null
                ? Optional.empty()
                : Optional.of(mDomains.get(domain).get(host).member());
    }

    Collection<Row> rows(Identity domain) {
        return mDomains.getOrDefault(domain, Map.of()).values();
    }

    /** Returns the records of one domain without the dead. */
    List<Member> live(Identity domain) {
        List<Member> live = new ArrayList<>();
        for (Row row : rows(domain)) {
            if (row.member().state() != MemberState.DEAD) {
                live.add(row.member());
            }
        }
        return live;
    }

    /** Returns the records of all domains without the dead, sorted by host. */
    List<Member> live() {
        List<Member> live = new ArrayList<>();
        mDomains.keySet().forEach(domain -> live.addAll(live(domain)));
        live.sort(Comparator.comparing(Member::host));
        return live;
    }

    Set<Identity> domains() {
        return mDomains.keySet();
    }

    /** Returns the digest of one domain; suspicion and dead daemons do not count. */
    long digest(Identity domain) {
        return mDigests.getOrDefault(domain, 0L);
    }

    /** Returns the digest of all domains. */
    long totalDigest() {
        return mTotalDigest;
    }

    /** Grows with every change. */
    long version() {
        return mVersion;
    }

    /** Forgets dead daemons whose last change is older than a time. */
    void forgetDead(long beforeNs) {
        List<Identity> old = new ArrayList<>();
        for (Map<Identity, Row> domain : mDomains.values()) {
            for (Row row : domain.values()) {
                if (row.member().state() == MemberState.DEAD && row.changedNs() < beforeNs) {
                    old.add(row.member().host());
                }
            }
        }
        old.forEach(this::remove);
    }

    private Optional<Member> earlierAt(Member told) {
        Identity other = mByAddress.get(told.address());
        if (other == null || other.equals(told.host())) {
            return Optional.empty();
        }
        return find(other)
                .filter(held -> held.state() != MemberState.DEAD)
                .filter(held -> held.incarnation() < told.incarnation())
                .map(held -> held.with(MemberState.DEAD, held.incarnation()));
    }

    private Member put(Member member, long nowNs) {
        remove(member.host());
        mDomains.computeIfAbsent(member.domain(), d -> new HashMap<>())
                .put(member.host(), new Row(member, nowNs));
        mDomainOf.put(member.host(), member.domain());
        if (member.state() != MemberState.DEAD) {
            mByAddress.put(member.address(), member.host());
        }
        toggleDigest(member);
        mVersion++;
        return member;
    }

    private void remove(Identity host) {
        Identity domain = mDomainOf.remove(host);
        if (domain == null) {
            return;
        }
        Member member = mDomains.get(domain).remove(host).member();
        mByAddress.remove(member.address(), host);
        toggleDigest(member);
        if (mDomains.get(domain).isEmpty()) {
            mDomains.remove(domain);
            mDigests.remove(domain);
        }
        mVersion++;
    }

    private void toggleDigest(Member member) {
        long digest = digest(member);
        mDigests.merge(member.domain(), digest, (a, b) -> a ^ b);
        mTotalDigest ^= digest;
    }

    private static long digest(Member member) {
        if (member.state() == MemberState.DEAD) {
            return 0;
        }
        return Hashing.komihash5_0()
                .hashStream()
                .putString(member.host().key())
                .putString(member.address().toString())
                .putLong(member.incarnation())
                .putBoolean(member.state() == MemberState.LEAVING)
                .getAsLong();
    }
}
