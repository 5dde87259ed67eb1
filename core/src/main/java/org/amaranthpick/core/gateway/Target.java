package org.amaranthpick.core.gateway;

import java.util.Optional;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Where one attempt goes.
 *
 * @param upstream upstream that takes the request
 * @param chain engines that it passes through, empty for plain services
 */
public record Target(UpstreamEntry upstream, Optional<EngineChain> chain) {}
