package org.amaranthpick.core.placement;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/**
 * Dependencies of leases and of other store objects that are changed by compare-and-set.
 *
 * @param store object store
 * @param scheduler clocks and timers
 * @param writers source of writer tokens
 * @param decisions log of all decisions
 * @param invariants runtime invariant checks
 * @param random source of jitter
 * @param settings durations of leases and store calls
 * @param self key of this host
 */
public record LeaseContext(
        ObjectStore store,
        Scheduler scheduler,
        WriterTokens writers,
        DecisionLog decisions,
        Invariants invariants,
        RandomGenerator random,
        PlacementSettings settings,
        String self) {}
