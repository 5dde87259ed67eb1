package org.amaranthpick.core.gateway;

import java.util.Optional;

/**
 * Service that routes refer to.
 *
 * @param name name of the service
 * @param maxConnections connections that an upstream accepts from all daemons together
 * @param model parameters of the model, empty for a plain service
 */
public record GatewayService(String name, int maxConnections, Optional<EngineModel> model) {}
