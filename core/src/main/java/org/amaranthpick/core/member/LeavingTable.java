package org.amaranthpick.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthpick.core.name.Identity;

/** Leaving notices, each with the time at which this daemon received it. Readers never block. */
final class LeavingTable implements LeavingView {
    private final Map<Identity, Entry> mEntries = new ConcurrentHashMap<>();
    private final Map<Identity, Instant> mLeavingHosts = new ConcurrentHashMap<>();
    private final Duration mRetention;

    private record Entry(LeavingNotice notice, Instant receivedAt) {}

    LeavingTable(Duration retention) {
        mRetention = retention;
    }

    @Override
    public Optional<Instant> leavingSince(Identity target) {
        Entry entry = mEntries.get(target);
        if (entry != null && entry.notice().leaving()) {
            return Optional.of(entry.receivedAt());
        }
        return Optional.ofNullable(mLeavingHosts.get(target));
    }

    /** Records whether the daemon of a host is itself leaving. */
    void setHostLeaving(Identity host, boolean leaving, Instant now) {
        if (leaving) {
            mLeavingHosts.putIfAbsent(host, now);
        } else {
            mLeavingHosts.remove(host);
        }
    }

    /** Stores a notice unless the current one wins or it has expired; returns whether it did. */
    boolean merge(LeavingNotice notice, Instant now) {
        if (isExpired(notice, now)) {
            return false;
        }
        Entry current = mEntries.get(notice.target());
        if (current != null && !notice.supersedes(current.notice())) {
            return false;
        }
        boolean alreadyLeaving = current != null && current.notice().leaving() && notice.leaving();
        mEntries.put(
                notice.target(), new Entry(notice, alreadyLeaving ? current.receivedAt() : now));
        return true;
    }

    /** Returns the current notice about a target. */
    Optional<LeavingNotice> notice(Identity target) {
        return Optional.ofNullable(mEntries.get(target)).map(Entry::notice);
    }

    /** Returns the notices about targets in one domain. */
    List<LeavingNotice> noticesOf(Identity domain) {
        List<LeavingNotice> notices = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.notice().domain().equals(domain)) {
                notices.add(entry.notice());
            }
        }
        return notices;
    }

    /** Returns the digest of each domain's notices; the order of notices does not matter. */
    Map<Identity, Long> digests() {
        Map<Identity, Long> digests = new HashMap<>();
        for (Entry entry : mEntries.values()) {
            digests.merge(entry.notice().domain(), digest(entry.notice()), (a, b) -> a ^ b);
        }
        return digests;
    }

    /** Returns the digest of all notices. */
    long totalDigest() {
        long total = 0;
        for (Entry entry : mEntries.values()) {
            total ^= digest(entry.notice());
        }
        return total;
    }

    /** Removes the notices that are older than the retention time. */
    void expire(Instant now) {
        mEntries.values().removeIf(entry -> isExpired(entry.notice(), now));
    }

    private boolean isExpired(LeavingNotice notice, Instant now) {
        return notice.sequenceMs() + mRetention.toMillis() <= now.toEpochMilli();
    }

    private static long digest(LeavingNotice notice) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(notice.target().key())
                .putLong(notice.sequenceMs())
                .putBoolean(notice.leaving())
                .getAsLong();
    }
}
