package org.amaranthpick.core.layers;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Failure domains that lately had memory for copies of their own and now lack it. Designed for
 * engines that crash together and register again one by one, empty: if the domain were counted to
 * those that hold copies together meanwhile, the first engines back would load copies for others,
 * and layers of their own domain would be missing once it is complete. Such a domain therefore gets
 * no orders until it has the memory again or its engines have been away for long, unless layers are
 * missing in the whole fleet. Confined to one thread.
 */
final class ReducedDomains {
    /** Time in which crashed engines mostly register again. */
    static final Duration RETURN_TIME = Duration.ofSeconds(10);

    private final Map<String, Long> mLastOwnCopyNs = new HashMap<>();

    /**
     * Finds the reduced domains.
     *
     * @param engines engines in service
     * @param planner planner of the model
     * @param nowNs monotonic time
     * @return names of the domains that get no orders at present
     */
    Set<String> find(List<EngineLayerState> engines, LayerPlanner planner, long nowNs) {
        Set<String> own = planner.domainsWithOwnCopies(engines);
        own.forEach(domain -> mLastOwnCopyNs.put(domain, nowNs));
        mLastOwnCopyNs.values().removeIf(ns -> nowNs - ns >= RETURN_TIME.toNanos());
        if (!LayerGaps.find(planner.countFleetHolders(engines)).isEmpty()) {
            return Set.of();
        }
        Set<String> reduced = new HashSet<>(mLastOwnCopyNs.keySet());
        reduced.removeAll(own);
        return reduced;
    }
}
