package org.amaranthpick.core.board;

import java.time.Duration;

/** Small control job run at a steady period: reads sections, writes its own. */
public interface Controller {
    /**
     * Returns the name used in logs and metrics.
     *
     * @return lower-case words with dashes
     */
    String name();

    /**
     * Returns the time between two steps.
     *
     * @return period above zero
     */
    Duration period();

    /** Runs one step. Must not block. */
    void step();
}
