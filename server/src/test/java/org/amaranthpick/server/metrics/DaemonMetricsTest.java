package org.amaranthpick.server.metrics;

import java.time.Duration;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class DaemonMetricsTest {
    /** Two fleets use the same workspace name; their time series must stay separate. */
    @Test
    void namesAndLabels() {
        DaemonMetrics metrics = new DaemonMetrics();
        metrics.registerInvariants(new Invariants());
        for (String fleet : new String[] {"kenanga", "viseu"}) {
            metrics.onRequest(new Identity(fleet, ResourceKind.WORKSPACE, "desk"));
            metrics.onOutcome(fleet, "model", "answered");
        }
        metrics.onRefusal("viseu", "limit_reached");
        metrics.onFirstToken("kenanga", Duration.ofMillis(300));
        metrics.onToken("kenanga", Duration.ofMillis(20));
        metrics.registerGauge("example", "A value read at each scrape.", () -> 7);
        Approvals.verify(metrics.toPrometheusText());
    }
}
