package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Engine of a candidate chain and the layers that it runs there.
 *
 * @param engine engine
 * @param layers layers that the engine runs
 */
record ChainStep(Engine engine, LayerRange layers) {}
