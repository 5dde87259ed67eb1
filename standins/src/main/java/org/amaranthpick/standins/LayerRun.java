package org.amaranthpick.standins;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Layers that an engine stand-in really ran for one token.
 *
 * @param requestId id of the request
 * @param attempt attempt number
 * @param index index of the token in the whole answer
 * @param layers layers run
 */
public record LayerRun(String requestId, int attempt, int index, LayerRange layers) {}
