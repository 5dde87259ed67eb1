package org.amaranthpick.server.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.IntSupplier;
import org.amaranthpick.core.gateway.RequestKind;
import org.amaranthpick.core.gateway.admission.LoadDecision;
import org.amaranthpick.core.invariant.Invariant;
import org.amaranthpick.core.invariant.Invariants;
import org.amaranthpick.core.reach.RelayReply;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.response.ResponseFault;

/** Counters and latency histograms of a gateway. */
final class GatewayMetrics {
    /** Bounds the number of time series. */
    private static final int MAX_PRIORITY = 9;

    private static final double NS_PER_SECOND = 1e9;
    private static final double[] BUCKETS_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.35, 0.5, 0.75, 1, 2, 4, 8, 20
    };

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mRequestCount =
            Counter.builder()
                    .name("amaranthpick_gateway_requests_total")
                    .help("Requests by kind of route and outcome")
                    .labelNames("kind", "outcome")
                    .register(mRegistry);
    private final Counter mAttemptCount =
            Counter.builder()
                    .name("amaranthpick_gateway_attempts_total")
                    .help("Sends to upstreams by kind of route, first ones and repeats")
                    .labelNames("kind", "repeat")
                    .register(mRegistry);
    private final Counter mLossCount =
            Counter.builder()
                    .name("amaranthpick_gateway_lost_attempts_total")
                    .help(
                            "Sends whose response was lost, by kind of route and whether it had begun")
                    .labelNames("kind", "begun")
                    .register(mRegistry);
    private final Counter mUnansweredCount =
            Counter.builder()
                    .name("amaranthpick_gateway_unanswered_total")
                    .help(
                            "Connections that ended without a whole answer to a request that was"
                                    + " read, by reason and planned work within reach")
                    .labelNames("reason", "planned")
                    .register(mRegistry);
    private final Counter mPathFailureCount =
            Counter.builder()
                    .name("amaranthpick_gateway_direct_paths_failed_total")
                    .help("Connections to upstreams that failed before a request was sent")
                    .register(mRegistry);
    private final Counter mPathAnswerCount =
            Counter.builder()
                    .name("amaranthpick_gateway_direct_paths_answered_total")
                    .help("Responses of upstreams over direct connections")
                    .register(mRegistry);
    private final Counter mRelayReplyCount =
            Counter.builder()
                    .name("amaranthpick_gateway_relay_replies_total")
                    .help("Answers of other daemons that were asked for a path to an upstream")
                    .labelNames("status")
                    .register(mRegistry);
    private final Counter mRelayedCount =
            Counter.builder()
                    .name("amaranthpick_gateway_relay_requests_total")
                    .help("Paths that other daemons asked for, by answer")
                    .labelNames("status")
                    .register(mRegistry);
    private final Histogram mResponseTime =
            histogram("answer_seconds", "Time to the end of the answer, by kind and outcome")
                    .labelNames("kind", "outcome")
                    .register(mRegistry);
    private final Histogram mFirstEventTime =
            histogram("first_event_seconds", "Time to the first event of a stream")
                    .register(mRegistry);
    private final Histogram mPauseTime =
            histogram("pause_seconds", "Pauses between the events of a stream").register(mRegistry);
    private final Counter mTaskFailureCount =
            Counter.builder()
                    .name("amaranthpick_gateway_task_failures_total")
                    .help("Runs of the daemon's own tasks that ended with an exception")
                    .labelNames("task")
                    .register(mRegistry);
    private final Counter mLoadMessageCount =
            Counter.builder()
                    .name("amaranthpick_gateway_engine_load_messages_total")
                    .help("Loads of engines sent to other daemons and received from them")
                    .labelNames("direction")
                    .register(mRegistry);
    private final Gauge mLoadedEngines =
            Gauge.builder()
                    .name("amaranthpick_gateway_loaded_engines")
                    .help("Engines that are known to be nearly full")
                    .register(mRegistry);
    private final Gauge mConfigurationVersion =
            Gauge.builder()
                    .name("amaranthpick_gateway_configuration_version")
                    .help("Version of the configuration in force")
                    .register(mRegistry);

    private final Counter mStorePollReplacedCount =
            Counter.builder()
                    .name("amaranthpick_gateway_store_polls_replaced_total")
                    .help("Polls for changes that another daemon answered in place of the store")
                    .register(mRegistry);
    private final Counter mAdmissionCount =
            Counter.builder()
                    .name("amaranthpick_gateway_admission_total")
                    .help("Decisions on requests of models, by priority, reason and outcome")
                    .labelNames("priority", "reason", "outcome")
                    .register(mRegistry);
    private final Histogram mAdmissionTime =
            histogram("admission_seconds", "Time that requests waited for room, by outcome")
                    .labelNames("outcome")
                    .register(mRegistry);

    /**
     * Creates the metrics.
     *
     * @param invariants violations to show
     */
    GatewayMetrics(Invariants invariants) {
        GaugeWithCallback.builder()
                .name("amaranthpick_invariant_violations")
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

    private static Histogram.Builder histogram(String name, String help) {
        return Histogram.builder()
                .name("amaranthpick_gateway_" + name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(BUCKETS_SECONDS);
    }

    void onAttempt(RequestKind kind, boolean retry) {
        mAttemptCount.labelValues(label(kind), Boolean.toString(retry)).inc();
    }

    void onLoss(RequestKind kind, boolean begun) {
        mLossCount.labelValues(label(kind), Boolean.toString(begun)).inc();
    }

    void onUnanswered(UnansweredRequests.Reason reason, PlannedWork.Kind planned) {
        mUnansweredCount.labelValues(label(reason), label(planned)).inc();
    }

    void onPathFailed() {
        mPathFailureCount.inc();
    }

    void onPathAnswered() {
        mPathAnswerCount.inc();
    }

    void onRelayReply(RelayReply.Status status) {
        mRelayReplyCount.labelValues(label(status)).inc();
    }

    void onRelayed(RelayReply.Status status) {
        mRelayedCount.labelValues(label(status)).inc();
    }

    void onStorePollReplaced() {
        mStorePollReplacedCount.inc();
    }

    /** Shows how many polls of other daemons this one holds; two for each that follows it. */
    void observeFollowers(IntSupplier held) {
        GaugeWithCallback.builder()
                .name("amaranthpick_gateway_store_polls_held")
                .help("Polls of daemons that follow this one in place of the store")
                .callback(callback -> callback.call(held.getAsInt()))
                .register(mRegistry);
    }

    /**
     * Shows how many responses were malformed.
     *
     * @param connectors what received them
     */
    void observeMalformedResponses(List<HttpConnector> connectors) {
        CounterWithCallback.builder()
                .name("amaranthpick_gateway_malformed_responses_total")
                .help(
                        "Responses of upstreams and other daemons that were malformed and not"
                                + " used, by fault")
                .labelNames("fault")
                .callback(
                        callback -> {
                            for (ResponseFault fault : ResponseFault.values()) {
                                long count =
                                        connectors.stream()
                                                .mapToLong(c -> c.counters().malformed(fault))
                                                .sum();
                                callback.call((double) count, fault.label());
                            }
                        })
                .register(mRegistry);
    }

    void onFirstEvent(Duration elapsed) {
        mFirstEventTime.observe(seconds(elapsed));
    }

    void onPause(Duration pause) {
        mPauseTime.observe(seconds(pause));
    }

    void onRequestEnd(RequestKind kind, String outcome, Duration elapsed) {
        mRequestCount.labelValues(label(kind), outcome).inc();
        mResponseTime.labelValues(label(kind), outcome).observe(seconds(elapsed));
    }

    void onLoadsSent() {
        mLoadMessageCount.labelValues("sent").inc();
    }

    void onLoadsReceived() {
        mLoadMessageCount.labelValues("received").inc();
    }

    void setLoadedEngines(int count) {
        mLoadedEngines.set(count);
    }

    void onAdmission(int priority, LoadDecision decision) {
        String outcome = label(decision.outcome());
        mAdmissionCount
                .labelValues(
                        Integer.toString(Math.max(0, Math.min(MAX_PRIORITY, priority))),
                        label(decision.reason()),
                        outcome)
                .inc();
        mAdmissionTime.labelValues(outcome).observe(seconds(decision.waited()));
    }

    void onTaskFailed(String task) {
        mTaskFailureCount.labelValues(task).inc();
    }

    void onConfigurationVersion(long version) {
        mConfigurationVersion.set((double) version);
    }

    /** Responds with all metrics in the Prometheus text format. */
    void write(HttpServerExchange exchange) {
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.getResponseSender().send(text(), StandardCharsets.UTF_8);
    }

    /** Returns all metrics in the Prometheus text format. */
    String text() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NS_PER_SECOND;
    }
}
