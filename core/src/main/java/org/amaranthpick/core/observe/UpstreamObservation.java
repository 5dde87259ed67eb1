package org.amaranthpick.core.observe;

import java.time.Instant;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Last known status and reachability of an upstream.
 *
 * @param upstream identity of kind UPSTREAM
 * @param status last reported status
 * @param sampledAt sample time on this host's clock
 * @param reachability whether the observers can reach it
 */
public record UpstreamObservation(
        Identity upstream, UpstreamStatus status, Instant sampledAt, Reachability reachability) {

    /**
     * Reachability of an upstream: SUSPECT after a failed status request, LOST after several in a
     * row.
     */
    public enum Reachability {
        REACHABLE,
        SUSPECT,
        LOST
    }
}
