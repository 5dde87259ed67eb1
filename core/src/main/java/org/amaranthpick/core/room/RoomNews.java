package org.amaranthpick.core.room;

import java.util.List;

/**
 * Loads of engines that one daemon observed, on their way to the other daemons.
 *
 * @param duty the group of engines that the daemon observes
 * @param loads loads, empty if none of them is worth telling
 * @param forwardTo addresses of the daemons that the receiver passes the loads on to
 */
public record RoomNews(String duty, List<Load> loads, List<String> forwardTo) {
    /** Copies the lists; those that are missing are empty. */
    public RoomNews {
        duty = duty == null ? "" : duty;
        loads = loads == null ? List.of() : List.copyOf(loads);
        forwardTo = forwardTo == null ? List.of() : List.copyOf(forwardTo);
    }

    /**
     * Load of one engine.
     *
     * @param engineId id of the engine
     * @param fillPercent part of its capacity that is taken, in percent
     * @param ageMs time since it was observed
     */
    public record Load(String engineId, int fillPercent, int ageMs) {
        /** Returns whether the values are possible. */
        boolean isValid() {
            return engineId != null && !engineId.isEmpty() && fillPercent >= 0 && ageMs >= 0;
        }
    }
}
