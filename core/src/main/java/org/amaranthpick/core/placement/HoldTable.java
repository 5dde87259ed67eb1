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
 * Routing holds of all control shards as announced by their owners. A notice replaces the earlier
 * notices of its shard; holds expire if their owner stops announcing them. Thread-safe.
 */
final class HoldTable {
    private final Section<Identity, RoutingHold> mHolds;
    private final Scheduler mScheduler;
    private final long mExpiryNs;
    private final Map<Identity, ShardHolds> mByShard = new HashMap<>();

    private record ShardHolds(long fence, long sequence, long receivedNs, Set<Identity> engines) {}

    HoldTable(PlacementContext context) {
        mHolds = context.board().routingHolds();
        mScheduler = context.scheduler();
        mExpiryNs = context.settings().holdExpiry().toNanos();
    }

    /**
     * Applies a notice.
     *
     * @param notice holds of one shard
     * @return true if it is newer than the last applied one
     */
    synchronized boolean apply(PlacementMessage.HoldNotice notice) {
        ShardHolds last = mByShard.get(notice.shard());
        if (last != null && !isNewer(notice, last)) {
            return false;
        }
        Set<Identity> engines = new HashSet<>();
        for (PlacementMessage.EngineHold hold : notice.holds()) {
            engines.add(hold.upstream());
            updateHold(hold, notice.fence());
        }
        if (last != null) {
            last.engines().stream().filter(e -> !engines.contains(e)).forEach(mHolds::remove);
        }
        mByShard.put(
                notice.shard(),
                new ShardHolds(
                        notice.fence(), notice.sequence(), mScheduler.monotonicNs(), engines));
        return true;
    }

    /** Removes the holds of owners whose last notice is too old. */
    synchronized void expire() {
        long nowNs = mScheduler.monotonicNs();
        mByShard.replaceAll(
                (shard, last) -> {
                    if (last.engines().isEmpty() || nowNs - last.receivedNs() <= mExpiryNs) {
                        return last;
                    }
                    last.engines().forEach(mHolds::remove);
                    return new ShardHolds(
                            last.fence(), last.sequence(), last.receivedNs(), Set.of());
                });
    }

    private static boolean isNewer(PlacementMessage.HoldNotice notice, ShardHolds last) {
        return notice.fence() > last.fence()
                || (notice.fence() == last.fence() && notice.sequence() > last.sequence());
    }

    private void updateHold(PlacementMessage.EngineHold hold, long fence) {
        Optional<RoutingHold> current = mHolds.get(hold.upstream());
        boolean same =
                current.filter(h -> h.modelVersions().equals(hold.modelVersions()))
                        .filter(h -> h.fence() == fence)
                        .isPresent();
        if (!same) {
            Instant since = mScheduler.instant();
            mHolds.put(
                    hold.upstream(),
                    new RoutingHold(hold.upstream(), hold.modelVersions(), fence, since));
        }
    }
}
