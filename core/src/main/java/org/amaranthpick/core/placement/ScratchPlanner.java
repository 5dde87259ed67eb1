package org.amaranthpick.core.placement;

/** Baseline for comparison: plans as if no engine of the planned domains held anything. */
public final class ScratchPlanner implements Planner {
    private final Planner mPlanner;

    /**
     * Creates the baseline.
     *
     * @param planner planner that is given empty engines
     */
    public ScratchPlanner(Planner planner) {
        mPlanner = planner;
    }

    @Override
    public Plan plan(PlanInput input) {
        return mPlanner.plan(LayerTreePlanner.empty(input));
    }
}
