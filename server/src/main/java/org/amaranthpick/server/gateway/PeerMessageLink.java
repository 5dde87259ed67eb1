package org.amaranthpick.server.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OutgoingRequest;
import org.xnio.XnioWorker;

/**
 * Sends messages of one kind to other daemons and receives theirs, as JSON over HTTP. A message
 * that is lost is not sent again: others reach the daemon by other paths, or it observes for
 * itself.
 *
 * @param <M> type of the messages
 */
final class PeerMessageLink<M> implements HttpHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Connections to one other daemon; messages are small and rare. */
    private static final int MAX_CONNECTIONS = 2;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    private static final int MAX_REPLY_BYTES = 1024;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpConnector mConnector;
    private final String mPath;
    private final TypeReference<M> mType;
    private Consumer<M> mReceiver = message -> {};

    /**
     * Creates a link.
     *
     * @param connector connections to the other daemons
     * @param path path at which the daemons accept the messages
     * @param type type of the messages
     */
    PeerMessageLink(HttpConnector connector, String path, TypeReference<M> type) {
        mConnector = connector;
        mPath = path;
        mType = type;
    }

    /** Creates the connections to the other daemons, for the links of all kinds of messages. */
    static HttpConnector createConnector(XnioWorker worker, Scheduler scheduler) {
        return new HttpConnector(
                worker,
                scheduler,
                new ConnectorSettings(
                        MAX_CONNECTIONS, MAX_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT));
    }

    String path() {
        return mPath;
    }

    void setReceiver(Consumer<M> receiver) {
        mReceiver = receiver;
    }

    void send(String peerAddress, M message) {
        send(peerAddress, message, () -> {});
    }

    void send(String peerAddress, M message, Runnable onFailed) {
        Optional<URI> address = parse(peerAddress);
        if (address.isEmpty()) {
            return;
        }
        BodyCollector collector = new BodyCollector(MAX_REPLY_BYTES);
        collector
                .reply()
                .thenAccept(
                        reply -> {
                            if (!(reply.end() instanceof CallEnd.Complete)) {
                                onFailed.run();
                            }
                        });
        mConnector.send(
                new OutgoingRequest(
                        address.get(),
                        "POST",
                        mPath,
                        Map.of("Content-Type", "application/json"),
                        encode(message),
                        TIMEOUT,
                        Optional.of(TIMEOUT)),
                collector);
    }

    private static Optional<URI> parse(String peerAddress) {
        try {
            return Optional.of(URI.create("http://" + peerAddress));
        } catch (IllegalArgumentException e) {
            sLogger.atInfo().log("gossip: \"%s\" is not an address of a daemon", peerAddress);
            return Optional.empty();
        }
    }

    private byte[] encode(M message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.POST)
                || !exchange.getRequestPath().equals(mPath)) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND);
            exchange.endExchange();
            return;
        }
        exchange.setMaxEntitySize(MAX_MESSAGE_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> receive(exchange, body),
                        (failed, e) -> {
                            exchange.setPersistent(false);
                            exchange.endExchange();
                        });
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        exchange.setStatusCode(accept(body) ? StatusCodes.NO_CONTENT : StatusCodes.BAD_REQUEST);
        exchange.endExchange();
    }

    /** Hands a message to the receiver; returns whether it could be read and handled. */
    boolean accept(byte[] body) {
        try {
            mReceiver.accept(MAPPER.readValue(body, mType));
            return true;
        } catch (IOException | RuntimeException e) {
            sLogger.atInfo().log("gossip: cannot read a message: %s", e.getMessage());
            return false;
        }
    }
}
