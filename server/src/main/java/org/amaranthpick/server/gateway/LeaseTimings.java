package org.amaranthpick.server.gateway;

import java.time.Duration;
import org.amaranthpick.core.placement.PlacementSettings;

/** Timings of the lease under which a gateway controls the placement of layers. */
final class LeaseTimings {
    /** Time for which other gateways honour a lease after they saw its last renewal. */
    private static final Duration LEASE_DURATION = Duration.ofSeconds(4);

    /** Time before the end of a lease at which its holder stops acting on it. */
    private static final Duration LEASE_MARGIN = Duration.ofSeconds(1);

    private static final Duration RENEW_PERIOD = Duration.ofMillis(1200);
    private static final Duration TAKEOVER_STEP = Duration.ofMillis(300);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    private static final Duration MAX_CALL_TIME = Duration.ofSeconds(2);

    private LeaseTimings() {}

    /** Returns placement settings with these lease timings and defaults for everything else. */
    static PlacementSettings placementSettings() {
        PlacementSettings defaults = PlacementSettings.defaults();
        return new PlacementSettings(
                LEASE_DURATION,
                LEASE_MARGIN,
                RENEW_PERIOD,
                TAKEOVER_STEP,
                MAX_BACKOFF,
                MAX_CALL_TIME,
                defaults.planPeriod(),
                defaults.maxOrderDelay(),
                defaults.maxOrderTransit(),
                defaults.holdPropagation(),
                defaults.holdRefresh(),
                defaults.holdExpiry(),
                defaults.maxStatusAge(),
                defaults.lostGrace(),
                defaults.unknownGrace(),
                defaults.retiredGrace(),
                defaults.orderRetryDelay(),
                defaults.maxOrderRetryDelay(),
                defaults.unverifiedDrain());
    }
}
