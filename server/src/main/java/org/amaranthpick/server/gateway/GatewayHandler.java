package org.amaranthpick.server.gateway;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.amaranthpick.core.gateway.BodyMemory;
import org.amaranthpick.core.gateway.Credential;
import org.amaranthpick.core.gateway.GatewayConfiguration;
import org.amaranthpick.core.gateway.GatewayRoute;
import org.amaranthpick.core.gateway.GatewayService;
import org.amaranthpick.core.invariant.Invariants;

/** Resolves the route and credential of each request and starts an exchange to forward it. */
final class GatewayHandler implements HttpHandler, ExchangeListener {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Deadline assumed for callers that specify none while no configuration is in force. */
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(2);

    private final GatewayContext mContext;
    private final Supplier<Optional<GatewayConfiguration>> mConfiguration;
    private final GatewayResponses mResponses;
    private final OpenExchanges mOpen;
    private final BodyMemory mBodyMemory;
    private final Set<ForwardedExchange> mInProgress = new HashSet<>();
    private boolean mDraining;
    private boolean mRefusing;

    GatewayHandler(
            GatewayContext context,
            Supplier<Optional<GatewayConfiguration>> configuration,
            GatewayResponses responses,
            BodyMemory bodyMemory,
            Invariants invariants) {
        mContext = context;
        mConfiguration = configuration;
        mResponses = responses;
        mBodyMemory = bodyMemory;
        mOpen =
                new OpenExchanges(
                        context.scheduler(),
                        responses,
                        invariants,
                        new UnansweredRequests(context.planned(), context.metrics()));
    }

    /** Starts draining: closes each connection after its next response. */
    void drain() {
        mDraining = true;
        mOpen.closeAfterResponses();
    }

    /** Refuses further requests. */
    void refuse() {
        mRefusing = true;
    }

    /** Ends the requests in progress before the grace is over. */
    void interrupt() {
        forEachInProgress(exchange -> exchange.giveUp("the host stops"));
    }

    /** Returns the number of requests that are being read, served or answered. */
    int openCount() {
        return mOpen.count();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (mDraining) {
            exchange.setPersistent(false);
        }
        OpenExchange open = mOpen.open(exchange);
        open.run(() -> handleOpen(exchange, open));
    }

    private void handleOpen(HttpServerExchange exchange, OpenExchange open) {
        CallerRequestMetadata metadata =
                mContext.dialect().readCallerRequest(exchange.getRequestHeaders());
        open.setRequestId(metadata.requestId());
        Optional<GatewayConfiguration> configuration = mConfiguration.get();
        if (configuration.isEmpty() || mRefusing) {
            open.onEnd("refused");
            mResponses.sendNotRun(
                    exchange,
                    metadata.requestId(),
                    metadata.deadline().orElse(DEFAULT_DEADLINE),
                    Optional.empty());
            return;
        }
        route(exchange, open, metadata, configuration.get());
    }

    private void route(
            HttpServerExchange exchange,
            OpenExchange open,
            CallerRequestMetadata metadata,
            GatewayConfiguration configuration) {
        Optional<GatewayRoute> route =
                configuration.route(hostOf(exchange), exchange.getRequestURI());
        if (route.isEmpty()) {
            int status = StatusCodes.NOT_FOUND;
            reject(exchange, open, metadata, configuration, status, "no such route");
            return;
        }
        Optional<Credential> credential = metadata.apiKey().flatMap(configuration::credential);
        if (credential.isEmpty() && configuration.requiresCredential(route.get())) {
            int status = StatusCodes.UNAUTHORIZED;
            reject(exchange, open, metadata, configuration, status, "unknown key");
            return;
        }
        String service = route.get().selectService(mContext.random().nextDouble());
        Optional<GatewayService> found = configuration.service(service);
        if (found.isEmpty()) {
            sLogger.atWarning().log(
                    "config: route=%s refers to service %s, which is not configured",
                    route.get().name(), service);
            open.onEnd("refused");
            mResponses.sendNotRun(
                    exchange, metadata.requestId(), route.get().timeout(), Optional.empty());
            return;
        }
        readBody(exchange, open, metadata, configuration, route.get(), found.get(), credential);
    }

    private void readBody(
            HttpServerExchange exchange,
            OpenExchange open,
            CallerRequestMetadata metadata,
            GatewayConfiguration configuration,
            GatewayRoute route,
            GatewayService service,
            Optional<Credential> credential) {
        long receivedNs = mContext.scheduler().monotonicNs();
        BodyReader.read(
                exchange,
                configuration.limits().maxBodyBytes(),
                mBodyMemory,
                open::run,
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        forward(
                                exchange,
                                open,
                                new ForwardedRequest(
                                        metadata,
                                        exchange.getRequestMethod().toString(),
                                        requestTargetOf(exchange),
                                        exchange.getRequestHeaders(),
                                        body,
                                        route,
                                        service,
                                        credential.map(Credential::workspace),
                                        priorityOf(route, credential),
                                        configuration.version(),
                                        digestOf(exchange, metadata, body),
                                        receivedNs));
                    }

                    @Override
                    public void onTooLarge() {
                        reject(
                                exchange,
                                open,
                                metadata,
                                configuration,
                                StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                                "the body is over the limit");
                    }

                    @Override
                    public void onNoMemory() {
                        refuseForMemory(exchange, open, metadata, route);
                    }

                    @Override
                    public void onLost(IOException e) {
                        sLogger.atInfo().log(
                                "request: id=%s outcome=unread detail=\"%s\" %s",
                                metadata.requestId(),
                                e.getMessage(),
                                mContext.planned().describe());
                        open.onEnd("unread");
                        exchange.setPersistent(false);
                        exchange.setStatusCode(StatusCodes.BAD_REQUEST);
                        exchange.endExchange();
                    }
                });
    }

    private void refuseForMemory(
            HttpServerExchange exchange,
            OpenExchange open,
            CallerRequestMetadata metadata,
            GatewayRoute route) {
        sLogger.atInfo().log(
                "request: id=%s outcome=refused detail=\"no memory for its body,"
                        + " others hold %d bytes\"",
                metadata.requestId(), mBodyMemory.heldBytes());
        open.onEnd("refused");
        mResponses.sendNotRun(
                exchange,
                metadata.requestId(),
                metadata.deadline().orElse(route.timeout()),
                Optional.empty());
    }

    private void forward(HttpServerExchange exchange, OpenExchange open, ForwardedRequest request) {
        open.onRead(request.timeLimit());
        exchange.dispatch(
                mContext.scheduler(),
                () -> open.run(() -> startForwarding(exchange, open, request)));
    }

    private void startForwarding(
            HttpServerExchange exchange, OpenExchange open, ForwardedRequest request) {
        if (!mContext.stop().admits(request.route())) {
            refuseForStop(exchange, open, request);
            return;
        }
        ForwardedExchange forwarded =
                new ForwardedExchange(exchange, open, request, mContext, mResponses, this);
        open.setAbandon(forwarded::abandon);
        mInProgress.add(forwarded);
        forwarded.start();
    }

    private void refuseForStop(
            HttpServerExchange exchange, OpenExchange open, ForwardedRequest request) {
        String id = request.metadata().requestId();
        open.onEnd("refused");
        sLogger.atInfo().log(
                "request: id=%s outcome=refused detail=\"the host stops before its time\"", id);
        mResponses.sendNotRun(exchange, id, request.timeLimit(), Optional.empty());
    }

    @Override
    public void onEnded(ForwardedExchange exchange) {
        mInProgress.remove(exchange);
    }

    @Override
    public void onEngineUnresponsive(String engineId, String reason) {
        forEachInProgress(other -> other.onEngineUnresponsive(engineId, reason));
    }

    /** Moves streams that are silent on direct paths, all of which have been found broken. */
    void onPartitioned() {
        forEachInProgress(ForwardedExchange::onPartitioned);
    }

    /** Stops requests whose prompts have been quarantined since they were sent. */
    void onQuarantine() {
        forEachInProgress(ForwardedExchange::onQuarantine);
    }

    private void forEachInProgress(Consumer<ForwardedExchange> step) {
        Set.copyOf(mInProgress).forEach(exchange -> exchange.run(() -> step.accept(exchange)));
    }

    private static int priorityOf(GatewayRoute route, Optional<Credential> credential) {
        return credential
                .map(Credential::priority)
                .filter(priority -> priority >= 0)
                .orElse(route.priority());
    }

    private void reject(
            HttpServerExchange exchange,
            OpenExchange open,
            CallerRequestMetadata metadata,
            GatewayConfiguration configuration,
            int status,
            String message) {
        sLogger.atInfo().log(
                "request: id=%s outcome=rejected status=%d config=%d detail=\"%s\"",
                metadata.requestId(), status, configuration.version(), message);
        open.onEnd("rejected");
        mResponses.sendRejected(exchange, metadata.requestId(), status, message);
    }

    private static String digestOf(
            HttpServerExchange exchange, CallerRequestMetadata metadata, byte[] body) {
        return RequestDigest.of(
                exchange.getRequestMethod().toString(),
                hostOf(exchange),
                requestTargetOf(exchange),
                metadata.apiKey().orElse(""),
                body);
    }

    private static String hostOf(HttpServerExchange exchange) {
        String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    static String requestTargetOf(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI();
        return query.isEmpty() ? path : path + "?" + query;
    }
}
