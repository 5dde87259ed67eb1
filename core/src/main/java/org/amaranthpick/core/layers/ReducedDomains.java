package org.amaranthpick.core.layers;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthpick.core.manifest.LayerRange;

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
     * Selects the engines that are planned for.
     *
     * @param engines engines in service
     * @param planner planner of the model
     * @param nowNs monotonic time
     * @return the engines without those of reduced domains
     */
    List<EngineLayerState> exclude(
            List<EngineLayerState> engines, LayerPlanner planner, long nowNs) {
        Set<String> own = planner.domainsWithOwnCopies(engines);
        own.forEach(domain -> mLastOwnCopyNs.put(domain, nowNs));
        mLastOwnCopyNs.values().removeIf(ns -> nowNs - ns >= RETURN_TIME.toNanos());
        if (isMissingLayers(engines, planner)) {
            return engines;
        }
        Set<String> reduced = new HashSet<>(mLastOwnCopyNs.keySet());
        reduced.removeAll(own);
        return engines.stream().filter(engine -> !reduced.contains(engine.domain())).toList();
    }

    private static boolean isMissingLayers(
            Collection<EngineLayerState> engines, LayerPlanner planner) {
        List<LayerRange> gaps = LayerGaps.find(planner.countFleetHolders(engines));
        return !gaps.isEmpty();
    }
}
