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
 * Upstreams in the register. An entry that goes is gone at once, but for entries missing from a
 * list made after the store was out: engines need some time to register again, so these stay for a
 * grace time. Confined to one thread.
 */
public final class UpstreamRegister {
    /** Time in which live upstreams are back in the register after the store was out. */
    public static final Duration RETURN_GRACE = Duration.ofMillis(2200);

    private final Map<String, UpstreamEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, Long> mMissingUntilNs = new HashMap<>();
    private final Map<String, List<UpstreamEntry>> mByService = new HashMap<>();
    private long mGraceUntilNs = Long.MIN_VALUE;
    private long mVersion;

    /**
     * Notes that the store answers again after it did not.
     *
     * @param nowNs monotonic time
     */
    public void onStoreRegained(long nowNs) {
        mGraceUntilNs = nowNs + RETURN_GRACE.toNanos();
    }

    /**
     * Takes a whole list.
     *
     * @param entries all readable entries
     * @param nowNs monotonic time
     */
    public void replaceAll(List<UpstreamEntry> entries, long nowNs) {
        Set<String> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            put(entry);
        }
        for (String id : List.copyOf(mEntries.keySet())) {
            if (!listed.contains(id)) {
                remove(id, nowNs);
            }
        }
    }

    /**
     * Takes one entry.
     *
     * @param entry new or changed entry
     */
    public void put(UpstreamEntry entry) {
        mMissingUntilNs.remove(entry.id());
        if (!entry.equals(mEntries.put(entry.id(), entry))) {
            changed();
        }
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id id of the upstream
     * @param nowNs monotonic time
     */
    public void remove(String id, long nowNs) {
        UpstreamEntry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        if (nowNs < mGraceUntilNs && !entry.leaving()) {
            mMissingUntilNs.putIfAbsent(id, mGraceUntilNs);
            return;
        }
        mEntries.remove(id);
        mMissingUntilNs.remove(id);
        changed();
    }

    /**
     * Forgets entries whose grace time has passed.
     *
     * @param nowNs monotonic time
     */
    public void expire(long nowNs) {
        List<String> over = new ArrayList<>();
        mMissingUntilNs.forEach(
                (id, untilNs) -> {
                    if (nowNs >= untilNs) {
                        over.add(id);
                    }
                });
        over.forEach(id -> remove(id, nowNs));
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service name of the service
     * @return entries, leaving ones included
     */
    public List<UpstreamEntry> ofService(String service) {
        return mByService.computeIfAbsent(service, this::collect);
    }

    /**
     * Finds an upstream by its address.
     *
     * @param address IP number and port
     * @return entry, empty if none has the address
     */
    public Optional<UpstreamEntry> atAddress(String address) {
        return mEntries.values().stream().filter(e -> e.address().equals(address)).findFirst();
    }

    /**
     * Finds an upstream.
     *
     * @param id its id
     * @return entry, empty if it is not in the register
     */
    public Optional<UpstreamEntry> find(String id) {
        return Optional.ofNullable(mEntries.get(id));
    }

    /**
     * Returns a number that grows with every change.
     *
     * @return version of the register in this process
     */
    public long version() {
        return mVersion;
    }

    private List<UpstreamEntry> collect(String service) {
        return mEntries.values().stream().filter(e -> e.service().equals(service)).toList();
    }

    private void changed() {
        mVersion++;
        mByService.clear();
    }
}
