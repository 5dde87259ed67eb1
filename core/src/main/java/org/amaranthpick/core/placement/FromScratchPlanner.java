package org.amaranthpick.core.placement;

/** Baseline for comparison: plans as if the engines that may change had no holdings. */
public final class FromScratchPlanner implements Planner {
    private final Planner mPlanner;

    /**
     * Creates the baseline planner.
     *
     * @param planner planner that is given engines without holdings
     */
    public FromScratchPlanner(Planner planner) {
        mPlanner = planner;
    }

    @Override
    public Plan plan(PlanInput input) {
        return mPlanner.plan(LayerTreePlanner.withoutHoldings(input));
    }
}
