package org.amaranthpick.core.register;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Local copy of the register of upstreams. Removed entries disappear at once, except after a store
 * outage: upstreams need some time to register again, so entries that are missing then are kept for
 * a grace time. After the store came back from a copy, entries of upstreams that have left since
 * may be back, and others show an earlier state: these are held back until their upstreams write
 * them again, or would have expired. Confined to one thread.
 */
public final class UpstreamRegister {
    /** Time in which live upstreams register again after a store outage. */
    public static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2200);

    /** Time in which an entry expires whose upstream does not renew it. */
    public static final Duration ENTRY_EXPIRY = Duration.ofSeconds(5);

    private static final int MAX_LEFT = 4096;

    private final Map<String, UpstreamEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, UpstreamEntry> mLeft =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, UpstreamEntry> eldest) {
                    return size() > MAX_LEFT;
                }
            };
    private final Map<String, UpstreamEntry> mHeldBack = new LinkedHashMap<>();
    private final Map<String, Long> mExpiryNs = new HashMap<>();
    private final Map<String, List<UpstreamEntry>> mByService = new HashMap<>();
    private long mGraceUntilNs = Long.MIN_VALUE;
    private long mHoldBackUntilNs = Long.MIN_VALUE;
    private long mVersion;

    /**
     * Starts the grace time, when the store is available again after an outage.
     *
     * @param nowNs monotonic time
     */
    public void onStoreRecovered(long nowNs) {
        mGraceUntilNs = nowNs + REREGISTRATION_GRACE.toNanos();
    }

    /**
     * Starts to hold back entries that are older than those known, when the store came back from a
     * copy, and starts the grace time.
     *
     * @param nowNs monotonic time
     */
    public void onStoreRestored(long nowNs) {
        onStoreRecovered(nowNs);
        mHoldBackUntilNs = nowNs + ENTRY_EXPIRY.toNanos();
    }

    /**
     * Replaces all entries.
     *
     * @param entries all readable entries
     * @param nowNs monotonic time
     */
    public void replaceAll(List<UpstreamEntry> entries, long nowNs) {
        Set<String> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            if (nowNs < mHoldBackUntilNs && isOutdated(entry)) {
                mHeldBack.put(entry.id(), entry);
            } else {
                put(entry);
            }
        }
        mHeldBack.keySet().retainAll(listed);
        for (String id : List.copyOf(mEntries.keySet())) {
            if (!listed.contains(id)) {
                remove(id, nowNs);
            }
        }
    }

    /**
     * Adds or replaces an entry.
     *
     * @param entry new or changed entry
     */
    public void put(UpstreamEntry entry) {
        mHeldBack.remove(entry.id());
        mLeft.remove(entry.id());
        mExpiryNs.remove(entry.id());
        if (!entry.equals(mEntries.put(entry.id(), entry))) {
            markChanged();
        }
    }

    /**
     * Removes an entry, or lets it expire after the grace time.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void remove(String id, long nowNs) {
        mHeldBack.remove(id);
        UpstreamEntry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        if (nowNs < mGraceUntilNs && !entry.leaving()) {
            mExpiryNs.putIfAbsent(id, mGraceUntilNs);
            return;
        }
        mEntries.remove(id);
        mExpiryNs.remove(id);
        mLeft.remove(id);
        mLeft.put(id, entry);
        markChanged();
    }

    private boolean isOutdated(UpstreamEntry entry) {
        UpstreamEntry known = mEntries.get(entry.id());
        if (known != null) {
            return entry.isOlderThan(known) || wasLeaving(entry, known);
        }
        UpstreamEntry left = mLeft.get(entry.id());
        return left != null && !left.isOlderThan(entry);
    }

    /** Checks whether an entry shows an upstream in service that is known to be leaving. */
    private static boolean wasLeaving(UpstreamEntry entry, UpstreamEntry known) {
        return known.leaving() && !entry.leaving() && !known.isOlderThan(entry);
    }

    /**
     * Removes missing entries whose grace time has passed, and adds those held back that have not
     * expired.
     *
     * @param nowNs monotonic time
     */
    public void expire(long nowNs) {
        List<String> expired = new ArrayList<>();
        mExpiryNs.forEach(
                (id, untilNs) -> {
                    if (nowNs >= untilNs) {
                        expired.add(id);
                    }
                });
        expired.forEach(id -> remove(id, nowNs));
        if (nowNs >= mHoldBackUntilNs && !mHeldBack.isEmpty()) {
            addHeldBack();
        }
    }

    private void addHeldBack() {
        for (UpstreamEntry entry : List.copyOf(mHeldBack.values())) {
            UpstreamEntry known = mEntries.get(entry.id());
            if (known == null || !wasLeaving(entry, known)) {
                put(entry);
            }
        }
        mHeldBack.clear();
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service name of the service
     * @return entries, leaving ones included
     */
    public List<UpstreamEntry> findByService(String service) {
        return mByService.computeIfAbsent(service, this::entriesOf);
    }

    /**
     * Finds an upstream by its address.
     *
     * @param address IP address and port
     * @return entry, empty if none has the address
     */
    public Optional<UpstreamEntry> findByAddress(String address) {
        return mEntries.values().stream().filter(e -> e.address().equals(address)).findFirst();
    }

    /**
     * Finds an upstream by its id.
     *
     * @param id id of the upstream
     * @return entry, empty if it is not in the register
     */
    public Optional<UpstreamEntry> findById(String id) {
        return Optional.ofNullable(mEntries.get(id));
    }

    /**
     * Returns the ids of all upstreams that are not leaving.
     *
     * @return ids
     */
    public List<String> ids() {
        return mEntries.values().stream()
                .filter(entry -> !entry.leaving())
                .map(UpstreamEntry::id)
                .toList();
    }

    /**
     * Returns the number of registered upstreams of all services.
     *
     * @return number of entries
     */
    public int size() {
        return mEntries.size();
    }

    /**
     * Returns a version that increases with every change.
     *
     * @return version of the register in this process
     */
    public long version() {
        return mVersion;
    }

    private List<UpstreamEntry> entriesOf(String service) {
        return mEntries.values().stream().filter(e -> e.service().equals(service)).toList();
    }

    private void markChanged() {
        mVersion++;
        mByService.clear();
    }
}
