package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.DomainSpec;
import org.amaranthpick.core.manifest.WeightStoreSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Divides the concurrent loads of a weight store among the control shards of its fleet. Each owner
 * announces how many loads it requests, and all owners compute the same division. For a shard
 * without a recent notice an equal share stays reserved. Thread-safe.
 */
final class WeightLoadBudget {
    private static final long NOTICE_LIFETIME_NS = 15_000_000_000L;

    /** Concurrent loads of a fleet without a configured weight store. */
    private static final int DEFAULT_CONCURRENT_LOADS = 8;

    private final Scheduler mScheduler;
    private final Map<Identity, RequestedLoads> mRequested = new HashMap<>();

    private record RequestedLoads(long fence, int loads, long receivedNs) {}

    WeightLoadBudget(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Applies a notice of a shard's owner. */
    synchronized void apply(PlacementMessage.LoadNotice notice) {
        RequestedLoads last = mRequested.get(notice.shard());
        if (last == null || notice.fence() >= last.fence()) {
            long nowNs = mScheduler.monotonicNs();
            mRequested.put(
                    notice.shard(), new RequestedLoads(notice.fence(), notice.loads(), nowNs));
        }
    }

    /**
     * Returns the number of loads that a shard may run at once.
     *
     * @param configuration configuration in force
     * @param shard domain of the control shard
     * @param requested loads running or waiting in that shard
     * @return allowed loads, 0 or more
     */
    synchronized int slots(Configuration configuration, Identity shard, int requested) {
        int total =
                configuration.manifest().weightStores().stream()
                        .filter(store -> store.fleet().equals(shard.fleet()))
                        .mapToInt(WeightStoreSpec::concurrentLoads)
                        .findFirst()
                        .orElse(DEFAULT_CONCURRENT_LOADS);
        Map<Identity, Integer> requests = new TreeMap<>();
        TreeSet<Identity> shards = new TreeSet<>();
        for (DomainSpec domain : configuration.manifest().domains()) {
            if (domain.id().fleet().equals(shard.fleet())) {
                shards.add(domain.id());
            }
        }
        int equalShare = total / Math.max(1, shards.size());
        shards.forEach(
                id ->
                        requests.put(
                                id, id.equals(shard) ? requested : requestedLoads(id, equalShare)));
        return distribute(total, requests).getOrDefault(shard, 0);
    }

    private int requestedLoads(Identity shard, int equalShare) {
        RequestedLoads last = mRequested.get(shard);
        boolean fresh =
                last != null && mScheduler.monotonicNs() - last.receivedNs() <= NOTICE_LIFETIME_NS;
        return fresh ? last.loads() : equalShare;
    }

    /** Grants slots one at a time to each shard that requests more, in the order of their names. */
    private static Map<Identity, Integer> distribute(int total, Map<Identity, Integer> requests) {
        Map<Identity, Integer> granted = new HashMap<>();
        int freeSlots = total;
        boolean changed = true;
        while (freeSlots > 0 && changed) {
            changed = false;
            for (Map.Entry<Identity, Integer> request : requests.entrySet()) {
                int slots = granted.getOrDefault(request.getKey(), 0);
                if (freeSlots > 0 && slots < request.getValue()) {
                    granted.put(request.getKey(), slots + 1);
                    freeSlots--;
                    changed = true;
                }
            }
        }
        return granted;
    }
}
