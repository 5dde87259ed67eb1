package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * Input of a plan.
 *
 * @param engines every configured engine, usable or not
 * @param models required model versions
 * @param plannedDomains domains whose engines may change; all others are taken as they are
 * @param pinnedEngines engines of the planned domains that must keep their holdings
 * @param cutOffDomains domains that chains of the planned domains should avoid, such as those
 *     behind a degraded link
 */
public record PlanInput(
        List<EngineView> engines,
        List<ModelRequirement> models,
        Set<Identity> plannedDomains,
        Set<Identity> pinnedEngines,
        Set<Identity> cutOffDomains) {
    /** Copies the collections. */
    public PlanInput {
        engines = List.copyOf(engines);
        models = List.copyOf(models);
        plannedDomains = Set.copyOf(plannedDomains);
        pinnedEngines = Set.copyOf(pinnedEngines);
        cutOffDomains = Set.copyOf(cutOffDomains);
    }

    /**
     * Returns whether the plan may change an engine.
     *
     * @param engine the engine
     * @return true if it is usable, in a planned domain and not pinned
     */
    public boolean mayChange(EngineView engine) {
        return engine.usable()
                && plannedDomains.contains(engine.domain())
                && !pinnedEngines.contains(engine.id());
    }
}
