package org.amaranthpick.core.config;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Answer to the query on which daemons a generation is in force.
 *
 * @param generation the generation
 * @param live number of live daemons in the domains that answered
 * @param laggards live daemons on which it is not in force
 * @param unanswered domains that did not answer in time
 */
public record InForceStatus(
        long generation, int live, List<Identity> laggards, List<Identity> unanswered) {
    /** Copies the lists. */
    public InForceStatus {
        laggards = List.copyOf(laggards);
        unanswered = List.copyOf(unanswered);
    }

    /**
     * Returns whether the generation is in force on every live daemon.
     *
     * @return true if every domain answered and none has a laggard
     */
    public boolean everywhere() {
        return laggards.isEmpty() && unanswered.isEmpty();
    }
}
