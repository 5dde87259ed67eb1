package org.amaranthpick.core.placement;

import java.util.random.RandomGenerator;
import org.amaranthpick.core.explain.DecisionLog;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.core.time.Scheduler;

/**
 * What leases and other objects changed by compare-and-set work with.
 *
 * @param store object API of the platform
 * @param scheduler clocks and timers
 * @param writers source of writer tokens
 * @param decisions told of every decision
 * @param invariants checks asserted
 * @param random source of jitter
 * @param settings times of leases and store calls
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
