package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.member.MemberMessage.DomainHeartbeat;
import org.amaranthpick.core.member.MemberMessage.DomainTable;
import org.amaranthpick.core.member.MemberMessage.TableRequest;
import org.amaranthpick.core.member.MemberMessage.Updates;
import org.amaranthpick.core.name.Identity;

/**
 * Anti-entropy: requests the tables of domains whose digests keep differing. The table that a
 * domain sends of itself is authoritative for other domains. Guarded by the lock of the membership.
 */
final class TableSync {
    private static final int MISMATCHES_BEFORE_REQUEST = 3;
    private static final Duration REQUEST_PERIOD = Duration.ofSeconds(1);

    private final MembershipState mState;
    private final Map<Identity, Long> mLastRequestNs = new HashMap<>();
    private int mMismatches;
    private boolean mJoined;

    TableSync(MembershipState state) {
        mState = state;
    }

    /** Returns whether the table of this domain is complete enough to be sent to others. */
    boolean isJoined() {
        return mJoined;
    }

    void setJoined() {
        mJoined = true;
    }

    /** Compares the digest of a daemon of this domain with that of this daemon. */
    void onDomainPeerDigest(Identity from, long digest) {
        if (digest == mState.totalDigest()) {
            mMismatches = 0;
            return;
        }
        mMismatches++;
        if (mMismatches >= MISMATCHES_BEFORE_REQUEST && isDue(mState.ownDomain())) {
            mMismatches = 0;
            mState.network().send(from, new TableRequest(mState.digests()));
        }
    }

    /** Compares the digest that another domain sent with that of its table here. */
    void onDomainHeartbeat(Identity from, DomainHeartbeat domainHeartbeat) {
        Identity domain = domainHeartbeat.domain();
        long ownDigest = mState.digest(domain);
        if (domainHeartbeat.heartbeat().tableDigest() != ownDigest && isDue(domain)) {
            mState.network().send(from, new TableRequest(Map.of(domain, ownDigest)));
        }
    }

    /**
     * Replies with each table whose digest differs. A daemon of another domain gets only the
     * domains that its request names.
     */
    void onRequest(Identity from, TableRequest request) {
        if (!mJoined) {
            return;
        }
        boolean sameDomain =
                mState.table()
                        .find(from)
                        .filter(member -> member.domain().equals(mState.ownDomain()))
                        .isPresent();
        Set<Identity> domains = new HashSet<>(request.digests().keySet());
        if (sameDomain) {
            domains.addAll(mState.digests().keySet());
        }
        for (Identity domain : domains) {
            Long received = request.digests().get(domain);
            if (received == null || received != mState.digest(domain)) {
                sendTable(from, domain);
            }
        }
    }

    /** Sends every table to a daemon that joins. */
    void sendAll(Identity to) {
        mState.digests().keySet().forEach(domain -> sendTable(to, domain));
    }

    void onTable(Identity from, DomainTable table) {
        boolean authoritative =
                table.members().stream().anyMatch(m -> m.host().equals(from))
                        && !table.domain().equals(mState.ownDomain());
        List<Member> members = new ArrayList<>(table.members());
        if (authoritative) {
            members.addAll(missingAsDead(table));
        }
        mState.apply(new Updates(members, table.notices(), List.of()));
        mJoined |= table.domain().equals(mState.ownDomain());
    }

    /**
     * Returns, as dead, the daemons that their own domain no longer lists and whose record here is
     * older than the tombstone retention.
     */
    private List<Member> missingAsDead(DomainTable table) {
        long nowNs = mState.scheduler().monotonicNs();
        long retentionNs = mState.settings().tombstoneRetention().toNanos();
        Set<Identity> received = new HashSet<>();
        table.members().forEach(member -> received.add(member.host()));
        List<Member> missing = new ArrayList<>();
        for (MemberTable.Row row : mState.table().rows(table.domain())) {
            boolean old = nowNs - row.changedNs() >= retentionNs;
            if (old && !received.contains(row.member().host())) {
                missing.add(row.member().with(MemberState.DEAD, row.member().incarnation()));
            }
        }
        return missing;
    }

    private void sendTable(Identity to, Identity domain) {
        List<Member> members = new ArrayList<>();
        mState.table().rows(domain).forEach(row -> members.add(row.member()));
        mState.network()
                .send(to, new DomainTable(domain, members, mState.leaving().noticesOf(domain)));
    }

    private boolean isDue(Identity domain) {
        long nowNs = mState.scheduler().monotonicNs();
        Long lastNs = mLastRequestNs.get(domain);
        if (lastNs != null && nowNs - lastNs < REQUEST_PERIOD.toNanos()) {
            return false;
        }
        mLastRequestNs.put(domain, nowNs);
        return true;
    }
}
