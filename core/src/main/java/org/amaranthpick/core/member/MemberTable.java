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
 * Member records by domain. A higher incarnation wins; within one incarnation the later of the
 * states alive, suspect, leaving, dead wins. Guarded by the lock of the membership.
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
     * Member record with the time of its last change.
     *
     * @param member record
     * @param changedNs monotonic time of the last change
     */
    record Row(Member member, long changedNs) {}

    /**
     * Stores a record if it wins over the current record of the same host.
     *
     * @return changed records; two if the record takes over the address of another host, which is
     *     then dead
     */
    List<Member> merge(Member received, long nowNs) {
        Optional<Member> current = find(received.host());
        if (current.isPresent() && !isAhead(received, current.get())) {
            return List.of();
        }
        List<Member> changed = new ArrayList<>();
        if (received.state() != MemberState.DEAD) {
            supersededByAddress(received).ifPresent(dead -> changed.add(put(dead, nowNs)));
        }
        changed.add(put(received, nowNs));
        return changed;
    }

    /** Returns whether a received record wins over the current one of the same host. */
    static boolean isAhead(Member received, Member current) {
        if (received.incarnation() != current.incarnation()) {
            return received.incarnation() > current.incarnation();
        }
        return PRECEDENCE.indexOf(received.state()) > PRECEDENCE.indexOf(current.state());
    }

    /** Returns the record of a host, dead ones included. */
    Optional<Member> find(Identity host) {
        Identity domain = mDomainOf.get(host);
        return domain == null
                ? Optional.empty()
                : Optional.of(mDomains.get(domain).get(host).member());
    }

    Collection<Row> rows(Identity domain) {
        return mDomains.getOrDefault(domain, Map.of()).values();
    }

    /** Returns the records of one domain except dead daemons. */
    List<Member> live(Identity domain) {
        List<Member> live = new ArrayList<>();
        for (Row row : rows(domain)) {
            if (row.member().state() != MemberState.DEAD) {
                live.add(row.member());
            }
        }
        return live;
    }

    /** Returns the records of all domains except dead daemons, sorted by host. */
    List<Member> live() {
        List<Member> live = new ArrayList<>();
        mDomains.keySet().forEach(domain -> live.addAll(live(domain)));
        live.sort(Comparator.comparing(Member::host));
        return live;
    }

    Set<Identity> domains() {
        return mDomains.keySet();
    }

    /** Returns the digest of one domain; suspicion and dead daemons do not affect it. */
    long digest(Identity domain) {
        return mDigests.getOrDefault(domain, 0L);
    }

    /** Returns the digest of all domains. */
    long totalDigest() {
        return mTotalDigest;
    }

    /** Returns a number that grows with every change. */
    long version() {
        return mVersion;
    }

    /** Removes dead daemons whose last change was before a monotonic time. */
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

    /** Returns, as dead, an earlier daemon of another host at the same address. */
    private Optional<Member> supersededByAddress(Member received) {
        Identity other = mByAddress.get(received.address());
        if (other == null || other.equals(received.host())) {
            return Optional.empty();
        }
        return find(other)
                .filter(current -> current.state() != MemberState.DEAD)
                .filter(current -> current.incarnation() < received.incarnation())
                .map(current -> current.with(MemberState.DEAD, current.incarnation()));
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
