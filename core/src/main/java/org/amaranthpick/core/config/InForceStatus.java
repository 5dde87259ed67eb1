package org.amaranthpick.core.config;

import java.util.List;
import org.amaranthpick.core.name.Identity;

/**
 * Where a generation is in force.
 *
 * @param generation the generation
 * @param live live daemons of the domains that answered
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
     * Tells whether the generation is in force on every live daemon.
     *
     * @return true if every domain answered and none has a laggard
     */
    public boolean everywhere() {
        return laggards.isEmpty() && unanswered.isEmpty();
    }
}
