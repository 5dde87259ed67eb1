package org.amaranthpick.server.gateway;

import java.util.Optional;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.register.UpstreamEntry;

/** Decodes the objects in the platform's store. */
public interface GatewayDecoder {
    /**
     * Decodes a configuration.
     *
     * @param value value of the stored object
     * @return configuration, empty if the value cannot be decoded; the reason is logged
     */
    Optional<GatewayConfiguration> decodeConfiguration(byte[] value);

    /**
     * Decodes an upstream's entry in the register.
     *
     * @param id id of the upstream
     * @param value value of the stored object
     * @return entry, empty if the value does not describe a usable upstream; the reason is logged
     */
    Optional<UpstreamEntry> decodeUpstream(String id, byte[] value);

    /** Returns the key prefix of configurations. */
    String configurationPrefix();

    /** Returns the key prefix of upstream entries. */
    String registerPrefix();
}
