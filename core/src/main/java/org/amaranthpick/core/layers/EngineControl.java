package org.amaranthpick.core.layers;

import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/** Sends layer orders to engines and queries their state. Stages never complete exceptionally. */
public interface EngineControl {
    /**
     * Orders an engine to hold a range of layers and no others.
     *
     * @param engine the engine
     * @param layers layers to hold
     * @param fence fencing token of the lease under which the order is sent
     * @param ordersBegun expected number of orders that the engine has begun; the engine refuses
     *     the order if its own count differs
     * @return outcome of the order
     */
    CompletionStage<OrderOutcome> sendOrder(
            UpstreamEntry engine, LayerRange layers, long fence, long ordersBegun);

    /**
     * Queries the state of an engine.
     *
     * @param engine the engine
     * @return the state, or the reason why there is none
     */
    CompletionStage<EngineReport> fetchReport(UpstreamEntry engine);
}
