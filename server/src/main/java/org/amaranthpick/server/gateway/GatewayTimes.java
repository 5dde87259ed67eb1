package org.amaranthpick.server.gateway;

import java.time.Duration;
import org.amaranthpick.core.placement.PlacementSettings;

/** Times of the placement of layers by gateways. */
final class GatewayTimes {
    /** Others honour a lease for so long after they saw its last renewal. */
    private static final Duration LEASE = Duration.ofSeconds(4);

    /** The holder stops believing in it so much earlier. */
    private static final Duration LEASE_MARGIN = Duration.ofSeconds(1);

    private static final Duration RENEW = Duration.ofMillis(1200);
    private static final Duration TAKEOVER_STEP = Duration.ofMillis(300);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);
    private static final Duration LONGEST_CALL = Duration.ofSeconds(2);

    private GatewayTimes() {}

    /** Returns the settings of leases; the rest is as in a fleet of the product's own interface. */
    static PlacementSettings placement() {
        PlacementSettings usual = PlacementSettings.defaults();
        return new PlacementSettings(
                LEASE,
                LEASE_MARGIN,
                RENEW,
                TAKEOVER_STEP,
                LONGEST_BACKOFF,
                LONGEST_CALL,
                usual.planPeriod(),
                usual.maxPause(),
                usual.orderFlight(),
                usual.holdSpread(),
                usual.holdRefresh(),
                usual.holdExpiry(),
                usual.maxStatusAge(),
                usual.lostGrace(),
                usual.unknownLimit(),
                usual.retiredGrace(),
                usual.orderRetry(),
                usual.maxOrderRetry(),
                usual.untrustedDrain());
    }
}
