package org.amaranthpick.core.route;

import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.name.Identity;

/**
 * One stage of a chain.
 *
 * @param upstream engine
 * @param layers layers that it runs
 * @param kv where it takes its KV cache from
 */
public record Hop(Identity upstream, LayerRange layers, KvSource kv) {}
