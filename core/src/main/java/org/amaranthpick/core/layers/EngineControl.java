package org.amaranthpick.core.layers;

import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/** Gives orders to engines and asks for their state. Stages complete normally. */
public interface EngineControl {
    /**
     * Orders an engine to hold a range of layers and no others.
     *
     * @param engine the engine
     * @param layers layers to hold
     * @param fence fencing number of the lease that the order is given under
     * @param ordersBegun orders that the engine has begun; with another number it refuses
     * @return what came of it
     */
    CompletionStage<OrderOutcome> hold(
            UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun);

    /**
     * Asks an engine for its state.
     *
     * @param engine the engine
     * @return state, or that there was no answer
     */
    CompletionStage<EngineReport> report(UpstreamEntry engine);
}
