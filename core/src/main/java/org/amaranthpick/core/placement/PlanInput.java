package org.amaranthpick.core.placement;

import java.util.List;
import java.util.Set;
import org.amaranthpick.core.name.Identity;

/**
 * What a plan is made from.
 *
 * @param engines every configured engine, usable or not
 * @param models model versions wanted
 * @param planned domains whose engines may be changed; the others are taken as they are
 * @param pinned engines of the planned domains that must keep what they hold
 * @param cutOff domains that chains of the planned domains should not pass, such as those behind a
 *     degraded link
 */
public record PlanInput(
        List<EngineView> engines,
        List<ModelNeed> models,
        Set<Identity> planned,
        Set<Identity> pinned,
        Set<Identity> cutOff) {
    /** Copies the collections. */
    public PlanInput {
        engines = List.copyOf(engines);
        models = List.copyOf(models);
        planned = Set.copyOf(planned);
        pinned = Set.copyOf(pinned);
        cutOff = Set.copyOf(cutOff);
    }

    /**
     * Tells whether an engine may be given a target.
     *
     * @param engine the engine
     * @return true if it is usable, of a planned domain and not pinned
     */
    public boolean mayChange(EngineView engine) {
        return engine.usable()
                && planned.contains(engine.domain())
                && !pinned.contains(engine.id());
    }
}
