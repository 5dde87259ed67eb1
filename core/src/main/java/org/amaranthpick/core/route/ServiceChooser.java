package org.amaranthpick.core.route;

import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/**
 * Chooses the service instance for one attempt. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface ServiceChooser {
    /**
     * Chooses an instance and records a call to it.
     *
     * @param configuration configuration that the request is pinned to
     * @param service service to call
     * @param excluded instances that must not be used
     * @return the instance, empty if none accepts new work
     */
    Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded);
}
