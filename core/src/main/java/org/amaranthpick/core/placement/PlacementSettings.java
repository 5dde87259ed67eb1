package org.amaranthpick.core.placement;

import java.time.Duration;

/**
 * Durations and limits of placement.
 *
 * @param leaseDuration time for which other daemons honour a lease after they first saw its last
 *     renewal
 * @param leaseMargin time before the end of a lease at which its holder treats it as expired
 * @param renewPeriod time between two renewals
 * @param takeoverStep extra wait per rank before a candidate acquires an expired lease
 * @param maxBackoff maximum wait between two store calls while the store is unavailable
 * @param maxCallTime time after which a store call without an answer is abandoned
 * @param planPeriod time between two plans
 * @param maxOrderDelay maximum time from the start of a store write to sending the orders that it
 *     covers
 * @param maxOrderTransit maximum time for which an order may be in transit
 * @param holdPropagation time within which every daemon learns of a routing hold
 * @param holdRefresh time between two announcements of the same holds
 * @param holdExpiry time after which a hold that is no longer announced is removed
 * @param maxStatusAge maximum age of an observation in the own domain on which orders are based
 * @param lostGrace time for which a lost engine keeps its place in the plan
 * @param unknownGrace time for which an engine without a recent observation keeps its place in the
 *     plan
 * @param retiredGrace time for which a model version is kept after the last pipeline stopped using
 *     it
 * @param orderRetryDelay first wait before an order is retried
 * @param maxOrderRetryDelay maximum wait before an order is retried
 * @param unverifiedDrain drain time of an engine whose status cannot show that it is drained
 */
public record PlacementSettings(
        Duration leaseDuration,
        Duration leaseMargin,
        Duration renewPeriod,
        Duration takeoverStep,
        Duration maxBackoff,
        Duration maxCallTime,
        Duration planPeriod,
        Duration maxOrderDelay,
        Duration maxOrderTransit,
        Duration holdPropagation,
        Duration holdRefresh,
        Duration holdExpiry,
        Duration maxStatusAge,
        Duration lostGrace,
        Duration unknownGrace,
        Duration retiredGrace,
        Duration orderRetryDelay,
        Duration maxOrderRetryDelay,
        Duration unverifiedDrain) {

    /**
     * Returns the settings for production.
     *
     * @return settings
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                Duration.ofSeconds(12),
                Duration.ofSeconds(2),
                Duration.ofSeconds(4),
                Duration.ofSeconds(2),
                Duration.ofSeconds(60),
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                Duration.ofSeconds(10),
                Duration.ofSeconds(30),
                Duration.ofSeconds(10),
                Duration.ofSeconds(4),
                Duration.ofSeconds(120),
                Duration.ofSeconds(60),
                Duration.ofSeconds(5),
                Duration.ofSeconds(120),
                Duration.ofSeconds(600));
    }
}
