package org.amaranthpick.core.request;

import java.util.Optional;
import java.util.Set;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.ServiceSpec;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;

/** Selects the instance for a service call. Thread-safe and non-blocking. */
@FunctionalInterface
public interface ServiceInstanceChooser {
    /**
     * Selects an instance.
     *
     * @param configuration configuration of the call
     * @param service service to call
     * @param excluded instances that must not be selected
     * @return instance, empty if none is available
     */
    Optional<UpstreamSpec> choose(
            Configuration configuration, ServiceSpec service, Set<Identity> excluded);
}
