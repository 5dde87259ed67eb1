package org.amaranthpick.core.placement;

/** Decides which engine holds which model versions, layers and adapters. */
@FunctionalInterface
public interface Planner {
    /**
     * Computes a plan.
     *
     * @param input engines, model versions and demand
     * @return plan; the same for the same input
     */
    Plan plan(PlanInput input);
}
