package org.amaranthpick.core.board;

import java.time.Duration;

/** Control task that runs periodically, reads sections of the blackboard and writes its own. */
public interface Controller {
    /**
     * Returns the name used in logs and metrics.
     *
     * @return lower-case words separated by hyphens
     */
    String name();

    /**
     * Returns the time between two steps.
     *
     * @return positive period
     */
    Duration period();

    /** Runs one step. Must not block. */
    void step();
}
