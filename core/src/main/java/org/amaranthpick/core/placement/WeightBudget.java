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
 * Splits a weight store's concurrent loads between the control shards of its fleet. Each owner
 * tells the others how many loads it wants; all split them the same way. A shard not heard of keeps
 * its plain share reserved. Thread-safe.
 */
final class WeightBudget {
    private static final long NOTICE_LIFE_NS = 15_000_000_000L;
    private static final int UNLIMITED = 8;

    private final Scheduler mScheduler;
    private final Map<Identity, Told> mTold = new HashMap<>();

    private record Told(long fence, int loads, long atNs) {}

    WeightBudget(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Takes a notice of a shard's owner. */
    synchronized void take(PlacementMessage.LoadNotice notice) {
        Told before = mTold.get(notice.shard());
        if (before == null || notice.fence() >= before.fence()) {
            long nowNs = mScheduler.monotonicNs();
            mTold.put(notice.shard(), new Told(notice.fence(), notice.loads(), nowNs));
        }
    }

    /**
     * Returns the loads that a shard may have under way at once.
     *
     * @param configuration configuration in force
     * @param shard domain of the control shard
     * @param wanted loads under way or waiting in that shard
     * @return loads allowed, 0 or more
     */
    synchronized int slots(Configuration configuration, Identity shard, int wanted) {
        int total =
                configuration.manifest().weightStores().stream()
                        .filter(store -> store.fleet().equals(shard.fleet()))
                        .mapToInt(WeightStoreSpec::concurrentLoads)
                        .findFirst()
                        .orElse(UNLIMITED);
        Map<Identity, Integer> wants = new TreeMap<>();
        TreeSet<Identity> shards = new TreeSet<>();
        for (DomainSpec domain : configuration.manifest().domains()) {
            if (domain.id().fleet().equals(shard.fleet())) {
                shards.add(domain.id());
            }
        }
        int plainShare = total / Math.max(1, shards.size());
        shards.forEach(id -> wants.put(id, id.equals(shard) ? wanted : told(id, plainShare)));
        return split(total, wants).getOrDefault(shard, 0);
    }

    private int told(Identity shard, int plainShare) {
        Told told = mTold.get(shard);
        boolean fresh = told != null && mScheduler.monotonicNs() - told.atNs() <= NOTICE_LIFE_NS;
        return fresh ? told.loads() : plainShare;
    }

    /** Gives one slot after the other to each shard that wants more, in order of their names. */
    private static Map<Identity, Integer> split(int total, Map<Identity, Integer> wants) {
        Map<Identity, Integer> given = new HashMap<>();
        int left = total;
        boolean moved = true;
        while (left > 0 && moved) {
            moved = false;
            for (Map.Entry<Identity, Integer> want : wants.entrySet()) {
                int has = given.getOrDefault(want.getKey(), 0);
                if (left > 0 && has < want.getValue()) {
                    given.put(want.getKey(), has + 1);
                    left--;
                    moved = true;
                }
            }
        }
        return given;
    }
}
