package org.amaranthpick.core.placement;

import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.ConfigurationView;

/**
 * Policy of placement: its planner and the sources of demand and link state.
 *
 * @param planner computes the plans
 * @param demand demand per model version
 * @param links measured state of network links
 */
public record PlacementPolicy(Planner planner, DemandView demand, LinkHealth links) {
    /**
     * Returns the policy for production: incremental plans, demand from observations.
     *
     * @param board blackboard with the observations
     * @param configuration configuration in force
     * @return policy
     */
    public static PlacementPolicy defaults(Blackboard board, ConfigurationView configuration) {
        return new PlacementPolicy(
                new LayerTreePlanner(),
                new ObservedDemand(board, configuration),
                LinkHealth.NONE_DEGRADED);
    }
}
