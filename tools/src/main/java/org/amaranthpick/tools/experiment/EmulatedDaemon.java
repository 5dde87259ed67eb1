package org.amaranthpick.tools.experiment;

import java.time.Duration;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.gateway.RetryBudget;
import org.amaranthpick.core.gateway.TargetPolicy;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.standins.fleet.EmulatedFleet;

/**
 * One daemon: what it believes and what it decides with.
 *
 * @param fleet engines
 * @param scheduler virtual time
 * @param service service of all requests
 * @param route route of all requests
 * @param policy chooses chains
 * @param health beliefs
 * @param repeats budget of repeats
 * @param tally what callers saw, of all daemons
 */
record EmulatedDaemon(
        EmulatedFleet fleet,
        Scheduler scheduler,
        GatewayService service,
        GatewayRoute route,
        TargetPolicy policy,
        UpstreamHealth health,
        RetryBudget repeats,
        CallTally tally) {
    /** Time for a question to an engine and its answer. */
    static final Duration QUESTION = Duration.ofMillis(3);

    long nowNs() {
        return scheduler.monotonicNs();
    }
}
