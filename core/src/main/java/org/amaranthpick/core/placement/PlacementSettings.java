package org.amaranthpick.core.placement;

import java.time.Duration;

/**
 * Times and limits of placement.
 *
 * @param leaseDuration time for which others honour a lease after they saw its last renewal
 * @param leaseMargin time before the end of a lease at which its holder stops believing in it
 * @param renewPeriod time between two renewals
 * @param takeoverStep extra wait of each further candidate before it takes a lapsed lease
 * @param maxBackoff longest wait between two store calls while the store is out
 * @param maxCallTime time after which a store call without an answer counts as unknown
 * @param planPeriod time between two plans
 * @param maxPause longest time from the start of a store write to the orders it covers
 * @param orderFlight longest time for which an order may be under way
 * @param holdSpread time in which every daemon learns of a routing hold
 * @param holdRefresh time between two announcements of the same holds
 * @param holdExpiry time after which a hold that is not announced any more is dropped
 * @param maxStatusAge age above which an observation in the own domain is too old to order by
 * @param lostGrace time for which a lost engine keeps its place in the plan
 * @param unknownLimit time for which a silent engine keeps its place in the plan
 * @param retiredGrace time for which a version is kept after the last pipeline left it
 * @param orderRetry first wait before an order is given again
 * @param maxOrderRetry longest wait before an order is given again
 * @param untrustedDrain drain time of an engine whose status cannot be believed
 */
public record PlacementSettings(
        Duration leaseDuration,
        Duration leaseMargin,
        Duration renewPeriod,
        Duration takeoverStep,
        Duration maxBackoff,
        Duration maxCallTime,
        Duration planPeriod,
        Duration maxPause,
        Duration orderFlight,
        Duration holdSpread,
        Duration holdRefresh,
        Duration holdExpiry,
        Duration maxStatusAge,
        Duration lostGrace,
        Duration unknownLimit,
        Duration retiredGrace,
        Duration orderRetry,
        Duration maxOrderRetry,
        Duration untrustedDrain) {

    /**
     * Returns the settings of a production fleet.
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
