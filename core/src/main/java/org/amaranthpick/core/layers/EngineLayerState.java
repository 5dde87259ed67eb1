package org.amaranthpick.core.layers;

import java.util.Optional;
import org.amaranthpick.core.gateway.CardKind;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * State of an engine as input of the layer planner.
 *
 * @param id id of the engine
 * @param domain failure domain of the engine
 * @param card kind of its card
 * @param layers layers that it holds or was ordered to hold, empty if none
 * @param acceptsOrders false while an order is pending; the engine gets no other order then
 */
public record EngineLayerState(
        String id,
        String domain,
        CardKind card,
        Optional<LayerRange> layers,
        boolean acceptsOrders) {}
