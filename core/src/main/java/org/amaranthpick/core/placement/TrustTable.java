package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/** Engines that did not do what they were told; they are left alone for a while. */
final class TrustTable {
    private static final long DISTRUST_NS = 600_000_000_000L;

    private final Scheduler mScheduler;
    private final Map<Identity, Long> mUntilNs = new HashMap<>();

    TrustTable(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    boolean trusted(Identity engine) {
        Long untilNs = mUntilNs.get(engine);
        if (untilNs != null && mScheduler.monotonicNs() >= untilNs) {
            mUntilNs.remove(engine);
            return true;
        }
        return untilNs == null;
    }

    void distrust(Identity engine) {
        mUntilNs.put(engine, mScheduler.monotonicNs() + DISTRUST_NS);
    }
}
