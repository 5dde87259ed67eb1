package org.amaranthpick.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.time.Scheduler;

/** Engines that did not carry out their orders and are therefore not trusted for some time. */
final class EngineTrust {
    private static final long DISTRUST_DURATION_NS = 600_000_000_000L;

    private final Scheduler mScheduler;
    private final Map<Identity, Long> mDistrustedUntilNs = new HashMap<>();

    EngineTrust(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    boolean isTrusted(Identity engine) {
        Long untilNs = mDistrustedUntilNs.get(engine);
        if (untilNs != null && mScheduler.monotonicNs() >= untilNs) {
            mDistrustedUntilNs.remove(engine);
            return true;
        }
        return untilNs == null;
    }

    void distrust(Identity engine) {
        mDistrustedUntilNs.put(engine, mScheduler.monotonicNs() + DISTRUST_DURATION_NS);
    }
}
