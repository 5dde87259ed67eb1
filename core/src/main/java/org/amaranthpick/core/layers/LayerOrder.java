package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Order to an engine to hold a range of layers and no others.
 *
 * @param engineId id of the engine
 * @param layers layers to hold
 * @param purpose what the load is for
 * @param reason how the order came about, for the log
 */
public record LayerOrder(String engineId, LayerRange layers, LoadPurpose purpose, String reason) {}
