package org.amaranthpick.core.observe;

import java.time.Instant;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.UpstreamStatus;

/**
 * Last known state of an upstream.
 *
 * @param upstream identity of kind UPSTREAM
 * @param status state that it reported
 * @param sampledAt time of the sample on this host's clock
 * @param reachability whether its observers reach it
 */
public record UpstreamObservation(
        Identity upstream, UpstreamStatus status, Instant sampledAt, Reachability reachability) {

    /** Whether the observers of an upstream reach it. */
    public enum Reachability {
        REACHABLE,
        SUSPECT,
        LOST
    }
}
