package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Stage of a chain.
 *
 * @param engine engine that runs the stage
 * @param layers layers that the engine runs for the chain
 */
public record ChainStage(UpstreamEntry engine, LayerRange layers) {}
