package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Order to hold a range of layers and no others.
 *
 * @param engineId engine that it goes to
 * @param layers layers to hold
 * @param reason what it is for
 */
public record LayerOrder(String engineId, LayerRange layers, String reason) {}
