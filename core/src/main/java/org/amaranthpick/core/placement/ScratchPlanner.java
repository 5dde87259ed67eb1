package org.amaranthpick.core.placement;

import java.util.List;

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
        List<EngineView> empty =
                input.engines().stream()
                        .map(e -> input.planned().contains(e.domain()) ? e.holding(List.of()) : e)
                        .toList();
        return mPlanner.plan(new PlanInput(empty, input.models(), input.planned(), input.cutOff()));
    }
}
