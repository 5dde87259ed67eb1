package org.amaranthpick.server.log;

import java.util.logging.LogManager;

/** Log manager whose handlers stay open during a graceful shutdown, so that its lines are kept. */
public final class ShutdownSafeLogManager extends LogManager {
    /** Creates the manager; called by the logging library. */
    public ShutdownSafeLogManager() {}

    /** Does nothing: the library would close every handler when the shutdown starts. */
    @Override
    public void reset() {}
}
