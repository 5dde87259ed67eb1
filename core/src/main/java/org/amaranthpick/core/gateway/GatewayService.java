package org.amaranthpick.core.gateway;

import java.util.Optional;

/**
 * One service.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all daemons together
 * @param model figures of the model, empty for a plain service
 */
public record GatewayService(String name, int maxConnections, Optional<EngineModel> model) {}
