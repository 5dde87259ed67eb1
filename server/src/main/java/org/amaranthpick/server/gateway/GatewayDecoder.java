package org.amaranthpick.server.gateway;

import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.register.UpstreamEntry;

/** Decodes what the platform keeps in its store. */
public interface GatewayDecoder {
    /**
     * Decodes a configuration.
     *
     * @param value value of its object
     * @return configuration, empty if it cannot be read; the reason is logged
     */
    Optional<GatewayConfiguration> configuration(byte[] value);

    /**
     * Decodes an entry of the register.
     *
     * @param id id of the upstream
     * @param value value of its object
     * @return entry, empty if it names no upstream to use; the reason is logged
     */
    Optional<UpstreamEntry> upstream(String id, byte[] value);

    /** Returns the start of the keys under which configurations stand. */
    String configurationPrefix();

    /** Returns the start of the keys under which upstreams register. */
    String registerPrefix();
}
