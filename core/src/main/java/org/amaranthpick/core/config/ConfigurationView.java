package org.amaranthpick.core.config;

import java.util.Optional;

/** Read access to the configuration in force. Never waits. */
@FunctionalInterface
public interface ConfigurationView {
    /**
     * Returns the configuration in force. Its generation never falls within a process.
     *
     * @return newest accepted configuration known here, empty before the first is learnt
     */
    Optional<Configuration> current();
}
