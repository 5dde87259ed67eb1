package org.amaranthpick.core.register;

import java.util.Objects;

/**
 * Observation of an upstream, on its way through the fleet.
 *
 * @param origin host of the daemon that made the observation
 * @param startedAtNs start of the origin on its own clock, which tells its incarnations apart
 * @param number number of the note among those of this incarnation
 * @param upstreamId id of the upstream
 * @param kind what was observed
 */
public record HealthNote(
        String origin, long startedAtNs, long number, String upstreamId, Kind kind) {
    /** Kind of an observation. */
    public enum Kind {
        /** The upstream could not be reached, or did not respond. */
        UNREACHABLE,
        /** The upstream refused a request, or could not be reached by the engine before it. */
        REFUSED,
        /** The upstream says in an answer that it is leaving. */
        LEAVING,
        /** The upstream names no limit to the rate of its requests any more. */
        UNLIMITED
    }

    /** Refuses incomplete notes, as they may come from elsewhere. */
    public HealthNote {
        Objects.requireNonNull(origin, "a note must name its origin");
        Objects.requireNonNull(upstreamId, "a note must name its upstream");
        Objects.requireNonNull(kind, "a note must have a kind");
    }

    /**
     * Returns the key by which a receiver recognises a note that it has had.
     *
     * @return key, the same for each copy of the note
     */
    String key() {
        return origin + "/" + startedAtNs + "/" + number;
    }
}
