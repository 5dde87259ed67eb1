package org.amaranthpick.server.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.name.Identity;

/** Metrics of the daemon: counters, latency histograms and gauges. */
public final class DaemonMetrics {
    private static final String NAMESPACE = "amaranthpick_";

    /** Histogram buckets of the time to the first token; 0.92 s is the target. */
    private static final double[] FIRST_TOKEN_SECONDS = {
        0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.92, 1.2, 2, 5, 10
    };

    /** Histogram buckets of the time between two tokens; 0.025 s is the target. */
    private static final double[] TOKEN_GAP_SECONDS = {
        0.005, 0.01, 0.015, 0.02, 0.025, 0.035, 0.05, 0.1, 0.5, 2
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mOutcomes;
    private final Counter mRefusals;
    private final Counter mWorkspaceRequests;
    private final Counter mTokens;
    private final Histogram mFirstToken;
    private final Histogram mTokenGap;

    /** Creates the metrics with all values at zero. */
    public DaemonMetrics() {
        mOutcomes =
                counter("outcomes", "Requests by fleet, kind and outcome.")
                        .labelNames("fleet", "kind", "outcome")
                        .register(mRegistry);
        mRefusals =
                counter("refusals", "Requests refused without running, by reason.")
                        .labelNames("fleet", "reason")
                        .register(mRegistry);
        mWorkspaceRequests =
                counter("workspace_requests", "Requests by workspace.")
                        .labelNames("fleet", "workspace")
                        .register(mRegistry);
        mTokens =
                counter("tokens", "Tokens emitted to callers.")
                        .labelNames("fleet")
                        .register(mRegistry);
        mFirstToken = histogram("first_token_seconds", "Time to first token.", FIRST_TOKEN_SECONDS);
        mTokenGap = histogram("token_gap_seconds", "Time between two tokens.", TOKEN_GAP_SECONDS);
    }

    /**
     * Registers a gauge for the number of violations of each invariant.
     *
     * @param invariants violation counters
     */
    public void registerInvariants(Invariants invariants) {
        GaugeWithCallback.builder()
                .name(NAMESPACE + "invariant_violations")
                .help("Violations of each invariant since the start; any above 0 is a fault.")
                .labelNames("invariant")
                .callback(
                        callback -> {
                            for (Invariant invariant : Invariant.values()) {
                                callback.call(
                                        (double) invariants.violations(invariant),
                                        invariant.label());
                            }
                        })
                .register(mRegistry);
    }

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name metric name without the common prefix
     * @param help help text
     * @param value supplies the value
     */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(NAMESPACE + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /**
     * Counts a request at its start.
     *
     * @param workspace workspace of the caller
     */
    public void onRequest(Identity workspace) {
        mWorkspaceRequests.labelValues(workspace.fleet(), workspace.name()).inc();
    }

    /**
     * Counts the outcome of a request.
     *
     * @param fleet fleet of the workspace
     * @param kind {@code model} or {@code service}
     * @param outcome outcome label
     */
    public void onOutcome(String fleet, String kind, String outcome) {
        mOutcomes.labelValues(fleet, kind, outcome).inc();
    }

    /**
     * Counts a refused request.
     *
     * @param fleet fleet of the workspace
     * @param reason label of the reason
     */
    public void onRefusal(String fleet, String reason) {
        mRefusals.labelValues(fleet, reason).inc();
    }

    /**
     * Records the first token of a request.
     *
     * @param fleet fleet of the workspace
     * @param elapsed time since the request was received
     */
    public void onFirstToken(String fleet, Duration elapsed) {
        mTokens.labelValues(fleet).inc();
        mFirstToken.observe(seconds(elapsed));
    }

    /**
     * Records a token after the first.
     *
     * @param fleet fleet of the workspace
     * @param gap time since the previous token
     */
    public void onToken(String fleet, Duration gap) {
        mTokens.labelValues(fleet).inc();
        mTokenGap.observe(seconds(gap));
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return metrics in the text format
     */
    public String toPrometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private Histogram histogram(String name, String help, double[] boundsSeconds) {
        return Histogram.builder()
                .name(NAMESPACE + name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(boundsSeconds)
                .register(mRegistry);
    }

    private static Counter.Builder counter(String name, String help) {
        return Counter.builder().name(NAMESPACE + name).help(help);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
