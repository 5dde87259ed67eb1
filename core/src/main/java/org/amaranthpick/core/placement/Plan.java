package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Map;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Result of planning.
 *
 * @param targets target holdings of each engine that may change
 * @param tokensPerSecond throughput of each model version once the targets are reached
 */
public record Plan(
        Map<Identity, List<UpstreamSpec.Holding>> targets, Map<Identity, Double> tokensPerSecond) {
    /** Copies the maps. */
    public Plan {
        targets = Map.copyOf(targets);
        tokensPerSecond = Map.copyOf(tokensPerSecond);
    }
}
