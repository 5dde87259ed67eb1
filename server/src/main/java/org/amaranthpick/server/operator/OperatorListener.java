package org.amaranthpick.server.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.amaranthpick.core.config.InForceStatus;
import org.amaranthpick.core.explain.DecisionTrail;
import org.xnio.XnioWorker;

/** Listener of operators. Health is open; all else needs the operator token. */
public final class OperatorListener implements AutoCloseable {
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final Pattern GENERATION = Pattern.compile("[0-9]{1,18}");
    private static final String BEARER = "Bearer ";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String JSON = "application/json";

    private final JsonMapper mMapper = new JsonMapper();
    private final OperatorActions mActions;
    private final byte[] mToken;
    private final Undertow mServer;

    /**
     * Starts the listener.
     *
     * @param address address to listen on
     * @param worker threads
     * @param token operator token
     * @param actions what operators can ask
     */
    public OperatorListener(
            InetSocketAddress address, XnioWorker worker, String token, OperatorActions actions) {
        mActions = actions;
        mToken = token.getBytes(StandardCharsets.UTF_8);
        mServer =
                Undertow.builder()
                        .setWorker(worker)
                        .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 0L)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) HEADER_TIMEOUT.toMillis())
                        .setHandler(routes())
                        .build();
        mServer.start();
    }

    /**
     * Returns the address listened on.
     *
     * @return bound address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private HttpHandler routes() {
        PathHandler paths =
                new PathHandler(exchange -> send(exchange, 404, TEXT, "no such path\n"));
        paths.addExactPath("/live", exchange -> send(exchange, 200, TEXT, "live\n"));
        paths.addExactPath("/ready", this::ready);
        paths.addExactPath("/metrics", guarded(x -> send(x, 200, TEXT, mActions.metrics())));
        paths.addExactPath("/status", guarded(this::status));
        paths.addPrefixPath("/explain", guarded(this::explain));
        paths.addPrefixPath("/in-force", guarded(this::inForce));
        paths.addExactPath("/drain", guarded(this::drain));
        return paths;
    }

    private HttpHandler guarded(HttpHandler next) {
        return exchange -> {
            if (isOperator(exchange)) {
                next.handleRequest(exchange);
            } else {
                exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
                send(exchange, 401, TEXT, "send the operator token as a bearer credential\n");
            }
        };
    }

    private boolean isOperator(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(BEARER)) {
            return false;
        }
        byte[] given = header.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(given, mToken);
    }

    private void ready(HttpServerExchange exchange) {
        Optional<String> reason = mActions.notReady();
        int status = reason.isPresent() ? 503 : 200;
        send(exchange, status, TEXT, reason.orElse("ready") + "\n");
    }

    private void status(HttpServerExchange exchange) throws JsonProcessingException {
        send(exchange, 200, JSON, mMapper.writeValueAsString(mActions.status()));
    }

    private void explain(HttpServerExchange exchange) {
        String subject = exchange.getRelativePath().replaceFirst("^/", "");
        List<DecisionTrail.Entry> entries = mActions.explain(subject);
        ArrayNode list = mMapper.createArrayNode();
        for (DecisionTrail.Entry entry : entries) {
            ObjectNode node = list.addObject();
            node.put("at", entry.at().toString());
            node.put("kind", entry.kind().label());
            node.put("text", entry.text());
        }
        send(exchange, entries.isEmpty() ? 404 : 200, JSON, list.toString());
    }

    private void inForce(HttpServerExchange exchange) {
        String text = exchange.getRelativePath().replaceFirst("^/", "");
        if (!GENERATION.matcher(text).matches()) {
            send(exchange, 400, TEXT, "ask for /in-force/GENERATION\n");
            return;
        }
        long generation = Long.parseLong(text);
        exchange.dispatch(
                exchange.getIoThread(),
                () ->
                        mActions.inForce(generation)
                                .thenAccept(
                                        status ->
                                                exchange.getIoThread()
                                                        .execute(() -> send(exchange, status))));
    }

    private void send(HttpServerExchange exchange, InForceStatus status) {
        ObjectNode node = mMapper.createObjectNode();
        node.put("generation", status.generation());
        node.put("live", status.live());
        node.put("everywhere", status.everywhere());
        ArrayNode laggards = node.putArray("laggards");
        status.laggards().forEach(host -> laggards.add(host.qualifiedName()));
        ArrayNode unanswered = node.putArray("unanswered");
        status.unanswered().forEach(domain -> unanswered.add(domain.qualifiedName()));
        send(exchange, 200, JSON, node.toString());
    }

    private void drain(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            send(exchange, 405, TEXT, "send a POST request\n");
            return;
        }
        mActions.drain();
        send(exchange, 202, TEXT, "draining\n");
    }

    private static void send(HttpServerExchange exchange, int status, String type, String body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body, StandardCharsets.UTF_8);
    }
}
