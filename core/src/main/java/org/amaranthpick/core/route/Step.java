package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;

/**
 * Part of a candidate chain.
 *
 * @param engine engine that runs it
 * @param layers layers that it runs
 */
record Step(Engine engine, LayerRange layers) {}
