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

/** Leaving notices with the time at which each was learnt. Readers never wait. */
final class LeavingTable implements LeavingView {
    private final Map<Identity, Entry> mEntries = new ConcurrentHashMap<>();
    private final Map<Identity, Instant> mHosts = new ConcurrentHashMap<>();
    private final Duration mRetention;

    private record Entry(LeavingNotice notice, Instant learntAt) {}

    LeavingTable(Duration retention) {
        mRetention = retention;
    }

    @Override
    public Optional<Instant> leavingSince(Identity target) {
        Entry entry = mEntries.get(target);
        if (entry != null && entry.notice().leaving()) {
            return Optional.of(entry.learntAt());
        }
        return Optional.ofNullable(mHosts.get(target));
    }

    /** Notes the word of a daemon about its own host. */
    void markHost(Identity host, boolean leaving, Instant now) {
        if (leaving) {
            mHosts.putIfAbsent(host, now);
        } else {
            mHosts.remove(host);
        }
    }

    /** Takes a notice; returns true if it is newer than the one held. */
    boolean merge(LeavingNotice notice, Instant now) {
        if (isExpired(notice, now)) {
            return false;
        }
        Entry held = mEntries.get(notice.target());
        if (held != null && !notice.replaces(held.notice())) {
            return false;
        }
        boolean known = held != null && held.notice().leaving() && notice.leaving();
        mEntries.put(notice.target(), new Entry(notice, known ? held.learntAt() : now));
        return true;
    }

    /** Returns the notice held on a target. */
    Optional<LeavingNotice> notice(Identity target) {
        return Optional.ofNullable(mEntries.get(target)).map(Entry::notice);
    }

    /** Returns the notices of one domain. */
    List<LeavingNotice> ofDomain(Identity domain) {
        List<LeavingNotice> notices = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.notice().domain().equals(domain)) {
                notices.add(entry.notice());
            }
        }
        return notices;
    }

    /** Returns a digest of the notices of each domain, independent of their order. */
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
