package org.amaranthpick.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.member.MemberMessage.Beat;
import org.amaranthpick.core.member.MemberMessage.News;
import org.amaranthpick.core.member.MemberMessage.Table;
import org.amaranthpick.core.member.MemberMessage.TableRequest;
import org.amaranthpick.core.name.Identity;

/**
 * Anti-entropy: tables are exchanged where digests go on differing. A domain's own word on its
 * daemons is final for other domains. Guarded by the lock of the membership.
 */
final class TableSync {
    private static final int MISMATCHES_BEFORE_REQUEST = 3;
    private static final Duration REQUEST_PERIOD = Duration.ofSeconds(1);

    private final MembershipState mState;
    private final Map<Identity, Long> mRequestedNs = new HashMap<>();
    private int mMismatches;
    private boolean mJoined;

    TableSync(MembershipState state) {
        mState = state;
    }

    /** Tells whether the table of this domain is complete enough to be told to others. */
    boolean isJoined() {
        return mJoined;
    }

    void setJoined() {
        mJoined = true;
    }

    /** Compares the digest of a neighbour with ours. */
    void onNeighbourDigest(Identity from, long digest) {
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

    /** Compares the digest of another domain with what is held of it. */
    void onBeat(Identity from, Beat beat) {
        Identity domain = beat.domain();
        long held = mState.digest(domain);
        if (beat.heartbeat().tableDigest() != held && isDue(domain)) {
            mState.network().send(from, new TableRequest(Map.of(domain, held)));
        }
    }

    /** Answers with each table that differs. A request of another domain names this one only. */
    void onRequest(Identity from, TableRequest request) {
        if (!mJoined) {
            return;
        }
        boolean neighbour =
                mState.table()
                        .find(from)
                        .filter(member -> member.domain().equals(mState.ownDomain()))
                        .isPresent();
        Set<Identity> domains = new HashSet<>(request.digests().keySet());
        if (neighbour) {
            domains.addAll(mState.digests().keySet());
        }
        for (Identity domain : domains) {
            Long told = request.digests().get(domain);
            if (told == null || told != mState.digest(domain)) {
                sendTable(from, domain);
            }
        }
    }

    /** Sends every table to a daemon that joins. */
    void sendAll(Identity to) {
        mState.digests().keySet().forEach(domain -> sendTable(to, domain));
    }

    void onTable(Identity from, Table table) {
        boolean fromDomain =
                table.members().stream().anyMatch(m -> m.host().equals(from))
                        && !table.domain().equals(mState.ownDomain());
        List<Member> members = new ArrayList<>(table.members());
        if (fromDomain) {
            members.addAll(missing(table));
        }
        mState.apply(new News(members, table.notices(), List.of()));
        mJoined |= table.domain().equals(mState.ownDomain());
    }

    /** Returns the daemons held that their own domain has forgotten, as dead. */
    private List<Member> missing(Table table) {
        long nowNs = mState.scheduler().monotonicNs();
        long retentionNs = mState.settings().tombstoneRetention().toNanos();
        Set<Identity> told = new HashSet<>();
        table.members().forEach(member -> told.add(member.host()));
        List<Member> missing = new ArrayList<>();
        for (MemberTable.Row row : mState.table().rows(table.domain())) {
            boolean old = nowNs - row.changedNs() >= retentionNs;
            if (old && !told.contains(row.member().host())) {
                missing.add(row.member().with(MemberState.DEAD, row.member().incarnation()));
            }
        }
        return missing;
    }

    private void sendTable(Identity to, Identity domain) {
        List<Member> members = new ArrayList<>();
        mState.table().rows(domain).forEach(row -> members.add(row.member()));
        mState.network().send(to, new Table(domain, members, mState.leaving().ofDomain(domain)));
    }

    private boolean isDue(Identity domain) {
        long nowNs = mState.scheduler().monotonicNs();
        Long lastNs = mRequestedNs.get(domain);
        if (lastNs != null && nowNs - lastNs < REQUEST_PERIOD.toNanos()) {
            return false;
        }
        mRequestedNs.put(domain, nowNs);
        return true;
    }
}
