package org.amaranthpick.core.placement;

import java.util.Optional;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.name.Identity;

/** Control shard of one failure domain as seen by one daemon. Guarded by its own lock. */
final class ControlShard {
    private final LeaseKeeper mLease;

    ControlShard(Identity domain, PlacementContext context) {
        mLease = new LeaseKeeper(domain.key(), context, this, () -> 0L);
    }

    synchronized Optional<Lease> lease() {
        return mLease.held();
    }

    synchronized void step(Configuration configuration, Optional<Integer> rank) {
        mLease.step(rank);
    }

    synchronized void close() {
        mLease.release();
    }
}
