package org.amaranthpick.server.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.amaranthpick.core.reach.PathFault;
import org.amaranthpick.core.reach.PathSearch;
import org.amaranthpick.core.reach.RelayDirectory;
import org.amaranthpick.core.reach.RelayReply;
import org.amaranthpick.core.reach.RelayRequest;
import org.amaranthpick.core.reach.UpstreamPaths;
import org.amaranthpick.core.register.UpstreamAdmission;
import org.amaranthpick.core.register.UpstreamEntry;
import org.amaranthpick.core.register.UpstreamHealth;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OutgoingRequest;
import org.amaranthpick.server.http.ResponseListener;

/**
 * Calls upstreams directly or, where the direct path is broken, through another daemon. That daemon
 * first opens its connection to the upstream and names it; only then the request is sent to it, for
 * that connection.
 */
final class UpstreamConnector implements UpstreamSender {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Path at which a daemon opens connections for others. */
    static final String RELAY_PATH = "/relay";

    /** In a request to another daemon: name of the open connection that it is for. */
    static final HttpString PATH_HEADER = new HttpString("Amaranthpick-Relay-Path");

    /** In the response of another daemon: where it comes from, one of the values below. */
    static final HttpString RESULT_HEADER = new HttpString("Amaranthpick-Relay-Result");

    /** The response is that of the upstream. */
    static final String RESULT_UPSTREAM = "upstream";

    /** No byte of the request was sent to the upstream. */
    static final String RESULT_NOT_SENT = "not-sent";

    /** The request was sent, and the response of the upstream is lost. */
    static final String RESULT_LOST = "lost";

    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(350);
    private static final int MAX_REPLY_BYTES = 4096;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpConnector mDirect;
    private final HttpConnector mRelayed;
    private final UpstreamPaths mPaths;
    private final RelayDirectory mRelays;
    private final UpstreamHealth mHealth;
    private final UpstreamAdmission mAdmission;
    private final GatewayDialect mDialect;
    private final Scheduler mScheduler;
    private final GatewayMetrics mMetrics;
    private final Set<String> mChecked = new HashSet<>();

    /**
     * Creates a connector.
     *
     * @param direct connections to upstreams
     * @param relayed connections to other daemons for requests that they relay
     * @param paths direct paths to the upstreams
     * @param relays other daemons
     * @param health told of upstreams that other daemons reach or do not reach
     * @param admission told of what upstreams say in answers to queries
     * @param dialect reads it
     * @param scheduler clock
     * @param metrics counts paths
     */
    UpstreamConnector(
            HttpConnector direct,
            HttpConnector relayed,
            UpstreamPaths paths,
            RelayDirectory relays,
            UpstreamHealth health,
            UpstreamAdmission admission,
            GatewayDialect dialect,
            Scheduler scheduler,
            GatewayMetrics metrics) {
        mDirect = direct;
        mRelayed = relayed;
        mPaths = paths;
        mRelays = relays;
        mHealth = health;
        mAdmission = admission;
        mDialect = dialect;
        mScheduler = scheduler;
        mMetrics = metrics;
    }

    /** Prepares a call that reaches at most one upstream, once. */
    UpstreamCall prepare(
            UpstreamEntry upstream, OutgoingRequest request, ResponseListener listener) {
        return new UpstreamCall(this, upstream, request, listener, false);
    }

    @Override
    public void send(UpstreamEntry upstream, OutgoingRequest request, ResponseListener listener) {
        new UpstreamCall(this, upstream, request, listener, true).start();
    }

    /** Returns whether neither a direct path nor another daemon leads to the upstreams. */
    boolean isIsolated() {
        return mPaths.isPartitioned() && !mRelays.hasUsable(nowNs());
    }

    /**
     * Returns whether a request is relayed over the last path there is: the daemon finishes it, and
     * no path opens for another attempt.
     */
    boolean isLastPath(Optional<String> relay) {
        return isIsolated()
                && relay.filter(peer -> mRelays.finishesOpenPaths(peer, nowNs())).isPresent();
    }

    PathSearch search(UpstreamEntry upstream, boolean confirm) {
        return new PathSearch(upstream.id(), confirm, mPaths, mRelays, nowNs());
    }

    HttpConnector direct() {
        return mDirect;
    }

    HttpConnector relayed() {
        return mRelayed;
    }

    RelayDirectory relays() {
        return mRelays;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    /** Records that a step of a call failed. */
    void onStepFailed(Throwable failure) {
        mScheduler.onTaskFailed("path", failure);
    }

    void onAnswered(UpstreamEntry upstream) {
        mMetrics.onPathAnswered();
        mPaths.onAnswered(upstream.id(), nowNs());
    }

    /** Handles the answer to a query. It names no limit, even where answers to requests do. */
    void onQueryAnswered(UpstreamEntry upstream, int status, HeaderMap headers) {
        if (mDialect.readLeaving(headers)) {
            mAdmission.leaving().onNotice(upstream);
        }
        mDialect.readPause(status, headers)
                .ifPresent(pause -> mAdmission.onPause(upstream, pause, nowNs()));
    }

    long nowNs() {
        return mScheduler.monotonicNs();
    }

    /**
     * Asks another daemon whether it reaches an upstream to which a connection failed, while others
     * answer here. Until then the upstream is left out here and nobody else is told.
     */
    void check(UpstreamEntry upstream) {
        if (mChecked.add(upstream.id())) {
            PathSearch search = search(upstream, true);
            runCheck(upstream, () -> followCheck(upstream, search, search.onDirectFailed(nowNs())));
        }
    }

    /** Runs a step of a check; if it fails, the upstream can be checked again. */
    private void runCheck(UpstreamEntry upstream, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            mChecked.remove(upstream.id());
            onStepFailed(e);
        }
    }

    private void followCheck(UpstreamEntry upstream, PathSearch search, PathSearch.Step step) {
        if (step instanceof PathSearch.Step.Relay relay) {
            askRelay(
                    relay.peer(),
                    new RelayRequest(upstream.id(), true),
                    reply ->
                            runCheck(
                                    upstream,
                                    () -> onChecked(upstream, search, relay.peer(), reply)));
            return;
        }
        mChecked.remove(upstream.id());
        if (step instanceof PathSearch.Step.Stop stop && stop.fault() == PathFault.UPSTREAM) {
            mHealth.onConfirmedUnreachable(upstream.id(), nowNs());
        }
    }

    private void onChecked(
            UpstreamEntry upstream, PathSearch search, String peer, Optional<RelayReply> reply) {
        if (reply.isEmpty()) {
            followCheck(upstream, search, search.onRelayUnreachable(peer, nowNs()));
        } else if (reply.get().status() == RelayReply.Status.OPENED) {
            mChecked.remove(upstream.id());
            search.onOpened(peer, nowNs());
            mRelays.onEnded(peer);
            mHealth.onReachable(upstream.id());
        } else {
            followCheck(upstream, search, search.onRefused(peer, reply.get().status(), nowNs()));
        }
    }

    /**
     * Asks another daemon to open a connection.
     *
     * @param receiver called with the reply, empty if none came
     */
    void askRelay(String peer, RelayRequest request, Consumer<Optional<RelayReply>> receiver) {
        BodyCollector collector = new BodyCollector(MAX_REPLY_BYTES);
        collector.reply().thenAccept(reply -> receiver.accept(readReply(peer, reply)));
        mRelayed.send(
                new OutgoingRequest(
                        URI.create("http://" + peer),
                        "POST",
                        RELAY_PATH,
                        Map.of("Content-Type", "application/json"),
                        write(request),
                        RELAY_TIMEOUT,
                        Optional.of(RELAY_TIMEOUT)),
                collector);
    }

    private static Optional<RelayReply> readReply(String peer, BodyCollector.Reply reply) {
        if (!(reply.end() instanceof CallEnd.Complete) || reply.status() != StatusCodes.OK) {
            sLogger.atInfo().log(
                    "relay: peer=%s no answer, status=%d end=%s",
                    peer, reply.status(), reply.end());
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(MAPPER.readValue(reply.body(), RelayReply.class));
        } catch (IOException | RuntimeException e) {
            sLogger.atInfo().log("relay: peer=%s unreadable answer: %s", peer, e.getMessage());
            return Optional.empty();
        }
    }

    static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static RelayRequest readRequest(byte[] body) throws IOException {
        RelayRequest request = MAPPER.readValue(body, RelayRequest.class);
        if (request == null) {
            throw new IOException("the request is empty");
        }
        return request;
    }
}
