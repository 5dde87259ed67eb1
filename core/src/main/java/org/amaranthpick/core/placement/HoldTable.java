package org.amaranthpick.core.placement;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.board.Section;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/**
 * Routing holds of all control shards as told by their owners. A notice replaces the earlier ones
 * of its shard; holds of an owner that falls silent expire. Thread-safe.
 */
final class HoldTable {
    private final Section<Identity, RoutingHold> mHolds;
    private final Scheduler mScheduler;
    private final long mExpiryNs;
    private final Map<Identity, Told> mByShard = new HashMap<>();

    private record Told(long fence, long sequence, long atNs, Set<Identity> engines) {}

    HoldTable(PlacementContext context) {
        mHolds = context.board().holds();
        mScheduler = context.scheduler();
        mExpiryNs = context.settings().holdExpiry().toNanos();
    }

    /**
     * Takes a notice.
     *
     * @param notice holds of one shard
     * @return true if it is newer than what was known
     */
    synchronized boolean take(PlacementMessage.HoldNotice notice) {
        Told before = mByShard.get(notice.shard());
        if (before != null && !isNewer(notice, before)) {
            return false;
        }
        Set<Identity> engines = new HashSet<>();
        for (PlacementMessage.Held held : notice.holds()) {
            engines.add(held.upstream());
            put(held, notice.fence());
        }
        if (before != null) {
            before.engines().stream().filter(e -> !engines.contains(e)).forEach(mHolds::remove);
        }
        mByShard.put(
                notice.shard(),
                new Told(notice.fence(), notice.sequence(), mScheduler.monotonicNs(), engines));
        return true;
    }

    /** Drops the holds of owners that have been silent for too long. */
    synchronized void expire() {
        long nowNs = mScheduler.monotonicNs();
        mByShard.replaceAll(
                (shard, told) -> {
                    if (told.engines().isEmpty() || nowNs - told.atNs() <= mExpiryNs) {
                        return told;
                    }
                    told.engines().forEach(mHolds::remove);
                    return new Told(told.fence(), told.sequence(), told.atNs(), Set.of());
                });
    }

    private static boolean isNewer(PlacementMessage.HoldNotice notice, Told before) {
        return notice.fence() > before.fence()
                || (notice.fence() == before.fence() && notice.sequence() > before.sequence());
    }

    private void put(PlacementMessage.Held held, long fence) {
        Optional<RoutingHold> present = mHolds.get(held.upstream());
        boolean same =
                present.filter(h -> h.modelVersions().equals(held.modelVersions()))
                        .filter(h -> h.fence() == fence)
                        .isPresent();
        if (!same) {
            Instant since = mScheduler.instant();
            mHolds.put(
                    held.upstream(),
                    new RoutingHold(held.upstream(), held.modelVersions(), fence, since));
        }
    }
}
