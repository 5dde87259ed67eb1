package org.amaranthpick.core.placement;

import org.amaranthpick.core.board.Blackboard;
import org.amaranthpick.core.config.ConfigurationView;

/**
 * What placement decides by.
 *
 * @param planner makes the plans
 * @param demand demand per model version
 * @param links measured state of the links
 */
public record PlacementPolicy(Planner planner, DemandView demand, LinkHealth links) {
    /**
     * Returns the policy of a production fleet: incremental plans, demand from observations.
     *
     * @param board blackboard with the observations
     * @param configuration configuration in force
     * @return policy
     */
    public static PlacementPolicy defaults(Blackboard board, ConfigurationView configuration) {
        return new PlacementPolicy(
                new LayerTreePlanner(),
                new ObservedDemand(board, configuration),
                LinkHealth.ALL_WELL);
    }
}
