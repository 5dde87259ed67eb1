package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Notices engines whose holdings change without an order or a restart: somebody else gives them
 * orders. Guarded by the shard's lock.
 */
final class ForeignChanges {
    private final Map<Identity, Settled> mSettled = new HashMap<>();

    private record Settled(String bootId, List<UpstreamSpec.Holding> holdings) {}

    /** Forgets everything, as when a shard is taken over. */
    void start() {
        mSettled.clear();
    }

    /** Notes what an engine holds while no order to it is open. */
    void settled(Identity engine, String bootId, List<UpstreamSpec.Holding> holdings) {
        mSettled.put(engine, new Settled(bootId, holdings));
    }

    /** Notes that an order is given, so that a change is expected. */
    void ordered(Identity engine) {
        mSettled.remove(engine);
    }

    /**
     * Tells whether an engine changed by itself. Told once per change.
     *
     * @param engine the engine
     * @param bootId its boot at present
     * @param holdings what it holds at present
     * @return true if it neither restarted nor was ordered to change
     */
    boolean isForeign(Identity engine, String bootId, List<UpstreamSpec.Holding> holdings) {
        Settled before = mSettled.get(engine);
        if (before == null || Holdings.same(before.holdings(), holdings)) {
            return false;
        }
        mSettled.remove(engine);
        return before.bootId().equals(bootId);
    }
}
