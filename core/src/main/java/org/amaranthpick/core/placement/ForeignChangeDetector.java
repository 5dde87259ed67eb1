package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Detects engines whose holdings change without an order or a restart, which means that someone
 * else sends them orders. Guarded by the shard's lock.
 */
final class ForeignChangeDetector {
    private final Map<Identity, SettledState> mSettledStates = new HashMap<>();

    private record SettledState(String bootId, List<UpstreamSpec.Holding> holdings) {}

    /** Discards all records; called when a shard is taken over. */
    void reset() {
        mSettledStates.clear();
    }

    /** Records the holdings of an engine that has no open order. */
    void recordSettled(Identity engine, String bootId, List<UpstreamSpec.Holding> holdings) {
        mSettledStates.put(engine, new SettledState(bootId, holdings));
    }

    /** Records that an order is sent, so that a change is expected. */
    void recordOrder(Identity engine) {
        mSettledStates.remove(engine);
    }

    /**
     * Returns whether the holdings of an engine changed without an order. Reports a change once.
     *
     * @param engine the engine
     * @param bootId its current boot ID
     * @param holdings its current holdings
     * @return true if it neither restarted nor was ordered to change
     */
    boolean isForeign(Identity engine, String bootId, List<UpstreamSpec.Holding> holdings) {
        SettledState before = mSettledStates.get(engine);
        if (before == null || Holdings.sameHoldings(before.holdings(), holdings)) {
            return false;
        }
        mSettledStates.remove(engine);
        return before.bootId().equals(bootId);
    }
}
