package org.amaranthpick.server.daemon;

import java.time.Duration;
import java.util.Locale;
import org.amaranthpick.core.claim.ClaimCounters;
import org.amaranthpick.core.member.MemberState;
import org.amaranthpick.core.observe.UpstreamObservation;
import org.amaranthpick.core.request.FrameVerdict;
import org.amaranthpick.core.request.RequestRouter;
import org.amaranthpick.server.metrics.DaemonMetrics;
import org.amaranthpick.server.peer.PeerCounters;
import org.amaranthpick.server.store.BudgetCounters;

/** Registers what is read from the daemon's parts at each scrape of the metrics. */
final class DaemonGauges {
    private DaemonGauges() {}

    static void register(Foundation base, ControlPlane control, RequestRouter router) {
        DaemonMetrics metrics = base.metrics();
        configuration(metrics, control);
        members(metrics, control);
        requests(metrics, router);
        claims(metrics, control.claims().counters());
        peers(metrics, control.peerCounters());
        store(metrics, base.store().counters());
        upstreams(metrics, base);
        metrics.registerGauge(
                "task_failures",
                "Runs of the daemon's own tasks that ended with an exception.",
                () -> base.scheduler().taskFailures() + base.controlScheduler().taskFailures());
    }

    private static void configuration(DaemonMetrics metrics, ControlPlane control) {
        metrics.registerGauge(
                "configuration_generation",
                "Generation in force on this daemon.",
                () -> control.configuration().generation());
        metrics.registerGauge(
                "configuration_watches_replaced",
                "Watches on the configuration that went silent and were replaced.",
                () -> control.configurationService().watchesReplaced());
        metrics.registerGauge(
                "control_leases_held",
                "Control shards that this daemon owns.",
                () -> control.leases());
    }

    private static void members(DaemonMetrics metrics, ControlPlane control) {
        for (MemberState state : MemberState.values()) {
            String label = state.name().toLowerCase(Locale.ROOT);
            metrics.registerGauge(
                    "members_" + label,
                    "Daemons believed to be " + label + ".",
                    () ->
                            control.members().members().stream()
                                    .filter(m -> m.state() == state)
                                    .count());
        }
    }

    private static void requests(DaemonMetrics metrics, RequestRouter router) {
        metrics.registerGauge(
                "requests_in_progress", "Requests without an outcome.", router::requestsInProgress);
        for (FrameVerdict verdict : FrameVerdict.values()) {
            metrics.registerGauge(
                    "token_frames_" + verdict.label(),
                    "Token frames judged " + verdict.label() + ".",
                    () -> router.frameCounters().get(verdict));
        }
    }

    private static void claims(DaemonMetrics metrics, ClaimCounters claims) {
        metrics.registerGauge("claim_store_reads", "Store reads for claims.", claims::reads);
        metrics.registerGauge("claim_store_writes", "Store writes for claims.", claims::writes);
        metrics.registerGauge(
                "claim_conflicts", "Claim writes lost to another owner.", claims::conflicts);
        metrics.registerGauge(
                "claim_unknowns", "Claim writes whose answer was lost.", claims::unknowns);
    }

    private static void store(DaemonMetrics metrics, BudgetCounters store) {
        metrics.registerGauge("store_reads", "Reads and lists sent to the store.", store::reads);
        metrics.registerGauge("store_writes", "Writes sent to the store.", store::writes);
        metrics.registerGauge(
                "store_waited", "Store calls that waited for the share.", store::waited);
        metrics.registerGauge(
                "store_refused", "Store calls refused over the share.", store::refused);
        metrics.registerGauge("store_pauses", "Pauses after failures in a row.", store::pauses);
        metrics.registerGauge("store_watches", "Open watches.", store::watches);
    }

    private static void peers(DaemonMetrics metrics, PeerCounters peers) {
        for (PeerCounters.Event event : PeerCounters.Event.values()) {
            metrics.registerGauge(
                    "peer_" + event.label(),
                    "Links to other daemons: " + event.label().replace('_', ' ') + ".",
                    () -> peers.get(event));
        }
    }

    private static void upstreams(DaemonMetrics metrics, Foundation base) {
        for (UpstreamObservation.Reachability state : UpstreamObservation.Reachability.values()) {
            String label = state.name().toLowerCase(Locale.ROOT);
            metrics.registerGauge(
                    "upstreams_" + label,
                    "Engines believed to be " + label + ".",
                    () -> count(base, state));
        }
        metrics.registerGauge(
                "oldest_report_seconds",
                "Age of the oldest report of a reachable engine.",
                () -> oldestReportSeconds(base));
    }

    private static double count(Foundation base, UpstreamObservation.Reachability state) {
        int[] count = new int[1];
        base.board().upstreams().forEach((id, seen) -> count[0] += matches(seen, state));
        return count[0];
    }

    private static int matches(UpstreamObservation seen, UpstreamObservation.Reachability state) {
        return seen.reachability() == state ? 1 : 0;
    }

    private static double oldestReportSeconds(Foundation base) {
        double[] oldest = new double[1];
        base.board()
                .upstreams()
                .forEach(
                        (id, seen) -> {
                            if (matches(seen, UpstreamObservation.Reachability.REACHABLE) == 1) {
                                Duration age =
                                        Duration.between(
                                                seen.sampledAt(), base.scheduler().instant());
                                oldest[0] = Math.max(oldest[0], age.toMillis() / 1e3);
                            }
                        });
        return oldest[0];
    }
}
