package org.amaranthpick.core.route;

import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Chooses the instance of a plain service for one attempt. Thread-safe; never waits. */
@FunctionalInterface
public interface ServiceChooser {
    /**
     * Chooses an instance and counts the call as sent.
     *
     * @param configuration configuration that the request pins
     * @param service the service
     * @param excluded instances that must not be used
     * @return the instance, empty if none takes new work
     */
    Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded);
}
