package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Progress of one engine towards its target. Guarded by the shard's lock. */
final class EngineOrder {
    final Identity mEngine;
    final List<UpstreamSpec.Holding> mTarget;

    /** Orders sent for this target so far. */
    int mAttempts;

    /** Sequence number of the last order. */
    long mSequence;

    /** Monotonic time before which no order is sent. */
    long mNextAttemptNs;

    /** Monotonic time by which the engine must reach its target, if an order was accepted. */
    Optional<Long> mDeadlineNs = Optional.empty();

    /** Boot ID of the engine at the time of the last order. */
    String mBootId = "";

    /** Monotonic start time of the last drain check, if that check found the engine idle. */
    Optional<Long> mDrainedAtNs = Optional.empty();

    /** Monotonic start time of the last drain check. */
    long mDrainCheckStartedNs = Long.MIN_VALUE / 2;

    /** Whether an order or the store write that covers it is in progress. */
    boolean mSending;

    /** Monotonic time since which the change is blocked by the last chain, if it is. */
    Optional<Long> mBlockedSinceNs = Optional.empty();

    /** Last logged reason for waiting. */
    String mLoggedReason = "";

    EngineOrder(Identity engine, List<UpstreamSpec.Holding> target) {
        mEngine = engine;
        mTarget = List.copyOf(target);
    }

    /** Returns whether the engine is carrying out an accepted order. */
    boolean isExecuting(long nowNs, String bootId) {
        return mDeadlineNs.isPresent()
                && nowNs < mDeadlineNs.get()
                && (mBootId.equals(bootId) || nowNs < mNextAttemptNs);
    }
}
