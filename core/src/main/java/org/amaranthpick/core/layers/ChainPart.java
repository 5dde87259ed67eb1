package org.amaranthpick.core.layers;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * One part of a chain.
 *
 * @param engine engine that runs it
 * @param layers layers that it runs
 */
public record ChainPart(UpstreamEntry engine, LayerRange layers) {}
