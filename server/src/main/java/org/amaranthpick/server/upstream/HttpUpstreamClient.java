package org.amaranthpick.server.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.IntPredicate;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.ServiceCall;
import org.amaranthpick.core.upstream.ServiceReply;
import org.amaranthpick.core.upstream.StreamEnd;
import org.amaranthpick.core.upstream.TokenListener;
import org.amaranthpick.core.upstream.UpstreamClient;
import org.amaranthpick.core.upstream.UpstreamOrder;
import org.amaranthpick.core.upstream.UpstreamStatus;
import org.amaranthpick.core.upstream.UpstreamStream;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorCounters;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.LineStream;
import org.amaranthpick.server.http.OutgoingRequest;
import org.xnio.XnioWorker;

/** Speaks HTTP/1.1 with JSON to engines and plain HTTP/1.1 to services. */
public final class HttpUpstreamClient implements UpstreamClient {
    private static final int STATUS_OK = 200;
    private static final int FIRST_STATUS_NOT_OK = 300;
    private static final Map<String, String> JSON_HEADERS =
            Map.of("Content-Type", "application/json");
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "content-length",
                    "host",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");
    private static final byte[] NO_BODY = new byte[0];

    private final HttpConnector mConnector;
    private final UpstreamSettings mSettings;

    /**
     * Creates a client without connections.
     *
     * @param worker gives the I/O threads; stays the caller's to shut down
     * @param scheduler clock and timers
     * @param settings bounds of the calls
     */
    public HttpUpstreamClient(XnioWorker worker, Scheduler scheduler, UpstreamSettings settings) {
        mConnector = new HttpConnector(worker, scheduler, settings.connector());
        mSettings = settings;
    }

    @Override
    public UpstreamStream generate(
            Configuration configuration, GenerateCall call, TokenListener listener) {
        Identity first = call.chain().hops().get(0).upstream();
        Optional<UpstreamSpec> upstream = configuration.upstream(first);
        if (upstream.isEmpty()) {
            listener.onEnd(new StreamEnd.NotSent(first, "it is not in the configuration"));
            return new EndedStream();
        }
        TokenStream stream =
                new TokenStream(
                        call,
                        mSettings.maxLineBytes(),
                        listener,
                        () -> cancelStages(configuration, call));
        OutgoingRequest request =
                new OutgoingRequest(
                        upstream.get().address(),
                        "POST",
                        "/v1/generate",
                        JSON_HEADERS,
                        RequestJson.generate(configuration, call),
                        mSettings.streamSilence(),
                        Optional.empty());
        stream.start(mConnector, request);
        return stream;
    }

    @Override
    public CompletionStage<ServiceReply> call(UpstreamSpec upstream, ServiceCall call) {
        Map<String, String> headers = new HashMap<>();
        call.headers().forEach((k, v) -> putEndToEnd(headers, k, v));
        headers.put("x-request-id", call.requestId());
        headers.put("x-workspace", call.workspace().key());
        OutgoingRequest request =
                new OutgoingRequest(
                        upstream.address(),
                        call.method(),
                        basePath(upstream.address()) + call.path(),
                        headers,
                        call.body(),
                        mSettings.serviceTimeout(),
                        Optional.of(mSettings.serviceTimeout()));
        // Answers of plain services carry no request id, so no call uses a connection again.
        return send(request, status -> false).thenApply(HttpUpstreamClient::serviceReply);
    }

    @Override
    public CompletionStage<Optional<UpstreamStatus>> status(UpstreamSpec upstream) {
        return send(request(upstream.address(), "GET", "/v1/status", NO_BODY))
                .thenApply(
                        reply -> isOk(reply) ? ReplyJson.status(reply.body()) : Optional.empty());
    }

    @Override
    public CompletionStage<OrderReply> order(UpstreamSpec upstream, UpstreamOrder order) {
        Map<String, String> headers = new HashMap<>(JSON_HEADERS);
        if (upstream.checksOrderer()) {
            mSettings.orderToken().ifPresent(t -> headers.put("Authorization", "Bearer " + t));
        }
        Duration timeout = mSettings.callTimeout();
        OutgoingRequest request =
                new OutgoingRequest(
                        upstream.address(),
                        "POST",
                        "/v1/orders",
                        headers,
                        RequestJson.order(order),
                        timeout,
                        Optional.of(timeout));
        return send(request).thenApply(HttpUpstreamClient::orderReply);
    }

    @Override
    public AutoCloseable cacheEvents(
            UpstreamSpec upstream, long afterSequence, CacheEventListener listener) {
        LineStream stream =
                new LineStream(
                        mSettings.maxLineBytes(),
                        (bytes, offset, length) ->
                                ReplyJson.tellCacheEvent(listener, bytes, offset, length),
                        listener::onEnded);
        OutgoingRequest request =
                new OutgoingRequest(
                        upstream.address(),
                        "GET",
                        "/v1/cache-events?after=" + afterSequence,
                        Map.of(),
                        NO_BODY,
                        mSettings.streamSilence(),
                        Optional.empty());
        stream.start(mConnector, request);
        return stream;
    }

    /**
     * Returns the counters of the connections, for metrics.
     *
     * @return live counters
     */
    public ConnectorCounters counters() {
        return mConnector.counters();
    }

    @Override
    public void close() {
        mConnector.close();
    }

    private void cancelStages(Configuration configuration, GenerateCall call) {
        byte[] body = RequestJson.cancel(call.requestId(), call.attempt());
        for (Hop hop : call.chain().hops()) {
            configuration
                    .upstream(hop.upstream())
                    .ifPresent(u -> send(request(u.address(), "POST", "/v1/cancel", body)));
        }
    }

    private OutgoingRequest request(URI address, String method, String path, byte[] body) {
        Duration timeout = mSettings.callTimeout();
        Map<String, String> headers = body.length == 0 ? Map.of() : JSON_HEADERS;
        return new OutgoingRequest(
                address, method, path, headers, body, timeout, Optional.of(timeout));
    }

    private CompletionStage<BodyCollector.Reply> send(OutgoingRequest request) {
        return send(request, status -> status < FIRST_STATUS_NOT_OK);
    }

    private CompletionStage<BodyCollector.Reply> send(
            OutgoingRequest request, IntPredicate keepsConnection) {
        BodyCollector collector = new BodyCollector(mSettings.maxBodyBytes(), keepsConnection);
        mConnector.send(request, collector);
        return collector.reply();
    }

    private static boolean isOk(BodyCollector.Reply reply) {
        return reply.end() instanceof CallEnd.Complete && reply.status() == STATUS_OK;
    }

    private static ServiceReply serviceReply(BodyCollector.Reply reply) {
        if (reply.end() instanceof CallEnd.NotSent unsent) {
            return new ServiceReply.NotSent(unsent.reason());
        }
        if (reply.end() instanceof CallEnd.Lost lost) {
            return new ServiceReply.Lost(lost.reason());
        }
        return new ServiceReply.Answered(reply.status(), headers(reply.headers()), reply.body());
    }

    private static OrderReply orderReply(BodyCollector.Reply reply) {
        if (reply.end() instanceof CallEnd.NotSent unsent) {
            return new OrderReply.Unknown(unsent.reason());
        }
        if (reply.end() instanceof CallEnd.Lost lost) {
            return new OrderReply.Unknown(lost.reason());
        }
        return reply.status() < FIRST_STATUS_NOT_OK
                ? new OrderReply.Accepted()
                : ReplyJson.refusal(reply.status(), reply.body());
    }

    private static Map<String, String> headers(HeaderMap headers) {
        Map<String, String> copy = new LinkedHashMap<>();
        for (HeaderValues values : headers) {
            putEndToEnd(copy, values.getHeaderName().toString(), String.join(", ", values));
        }
        return copy;
    }

    private static void putEndToEnd(Map<String, String> headers, String name, String value) {
        if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
            headers.put(name, value);
        }
    }

    private static String basePath(URI address) {
        String path = address.getRawPath() == null ? "" : address.getRawPath();
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }

    /** Stream that ended before it began. */
    private static final class EndedStream implements UpstreamStream {
        @Override
        public void pause() {
            // Nothing is read.
        }

        @Override
        public void resume() {
            // Nothing is read.
        }

        @Override
        public void cancel() {
            // Nothing was sent.
        }
    }
}
