package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Progress of one engine towards its target. Guarded by the shard's lock. */
final class EngineOrder {
    final Identity mEngine;
    final List<UpstreamSpec.Holding> mTarget;

    /** Orders given for this target so far. */
    int mAttempts;

    /** Number of the last order. */
    long mSequence;

    /** Monotonic time before which no order is given. */
    long mNextTryNs;

    /** Monotonic time by which the engine must hold its target, if an order was accepted. */
    Optional<Long> mDeadlineNs = Optional.empty();

    /** Boot of the engine to which the last order went. */
    String mBootId = "";

    /** Monotonic time at which the engine was last seen without streams, if its last check was. */
    Optional<Long> mDrainedAtNs = Optional.empty();

    /** Monotonic time of the start of the last drain check. */
    long mCheckStartedNs = Long.MIN_VALUE / 2;

    /** Whether an order is under way. */
    boolean mSending;

    /** Monotonic time since which the last chain stands in the way, if it does. */
    Optional<Long> mBlockedSinceNs = Optional.empty();

    /** Last reason for waiting that was logged. */
    String mLoggedReason = "";

    EngineOrder(Identity engine, List<UpstreamSpec.Holding> target) {
        mEngine = engine;
        mTarget = List.copyOf(target);
    }

    /** Tells whether an accepted order is being carried out. */
    boolean isUnderWay(long nowNs, String bootId) {
        return mDeadlineNs.isPresent()
                && nowNs < mDeadlineNs.get()
                && (mBootId.equals(bootId) || nowNs < mNextTryNs);
    }
}
