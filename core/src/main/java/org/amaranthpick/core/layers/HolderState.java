package org.amaranthpick.core.layers;

import java.util.Optional;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * One engine as the planner sees it.
 *
 * @param id id of the engine
 * @param domain failure domain it stands in
 * @param card kind of its card
 * @param layers layers that it holds or was ordered to hold, empty if none
 * @param settled false while an order to it is under way; it gets no other order then
 */
public record HolderState(
        String id, String domain, CardKind card, Optional<LayerRange> layers, boolean settled) {}
