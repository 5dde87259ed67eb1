package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Stage of a chain.
 *
 * @param engine engine that runs the stage
 * @param layers layers that the engine runs for the chain
 * @param kvTokenLayers KV cache of the engine for all chains, in tokens times layers
 */
public record ChainStage(UpstreamEntry engine, LayerRange layers, double kvTokenLayers) {}
