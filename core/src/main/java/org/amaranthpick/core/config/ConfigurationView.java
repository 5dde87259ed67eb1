package org.amaranthpick.core.config;

import java.util.Optional;

/** Read access to the configuration in force. Never blocks. */
@FunctionalInterface
public interface ConfigurationView {
    /**
     * Returns the configuration in force. Its generation never decreases within a process.
     *
     * @return newest accepted configuration installed in this process, empty if there is none yet
     */
    Optional<Configuration> current();
}
