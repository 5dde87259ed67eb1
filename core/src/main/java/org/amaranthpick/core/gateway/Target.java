package org.amaranthpick.core.gateway;

import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.layers.EngineChain;
import org.amaranthpick.core.register.UpstreamEntry;

/**
 * Destination of an attempt.
 *
 * @param upstream upstream that the request is sent to
 * @param chain chain of engines that runs the request, empty for plain services
 */
public record Target(UpstreamEntry upstream, Optional<EngineChain> chain) {
    /**
     * Returns the upstreams that the request passes through.
     *
     * @return ids, the one that it is sent to first
     */
    public List<String> upstreamIds() {
        return chain.map(c -> c.stages().stream().map(stage -> stage.engine().id()).toList())
                .orElse(List.of(upstream.id()));
    }
}
