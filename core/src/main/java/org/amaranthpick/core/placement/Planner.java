package org.amaranthpick.core.placement;

/** Decides which engine holds which layers, versions and adapters. */
@FunctionalInterface
public interface Planner {
    /**
     * Makes a plan.
     *
     * @param input engines, models and demand
     * @return plan; the same for the same input
     */
    Plan plan(PlanInput input);
}
