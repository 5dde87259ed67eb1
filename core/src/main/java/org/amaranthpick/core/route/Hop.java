package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * Stage of a chain: an engine and the layers that it runs.
 *
 * @param upstream identity of the engine
 * @param layers layers that it runs
 * @param kv source of the KV cache of these layers
 */
public record Hop(Identity upstream, LayerRange layers, KvSource kv) {}
