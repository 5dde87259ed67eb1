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
 * @param cutOff domains that chains of the planned domains should not pass, such as those behind a
 *     degraded link
 */
public record PlanInput(
        List<EngineView> engines,
        List<ModelNeed> models,
        Set<Identity> planned,
        Set<Identity> cutOff) {
    /** Copies the collections. */
    public PlanInput {
        engines = List.copyOf(engines);
        models = List.copyOf(models);
        planned = Set.copyOf(planned);
        cutOff = Set.copyOf(cutOff);
    }
}
