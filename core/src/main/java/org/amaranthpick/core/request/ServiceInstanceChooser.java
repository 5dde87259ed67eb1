package org.amaranthpick.core.request;

import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Chooses the instance that answers a service call. Thread-safe; never waits. */
@FunctionalInterface
public interface ServiceInstanceChooser {
    /**
     * Chooses an instance.
     *
     * @param configuration configuration that the call pins
     * @param service service called
     * @param excluded instances that must not be used
     * @return instance, empty if none can take the call
     */
    Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded);
}
