package org.amaranthpick.server.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.amaranthpick.core.follow.ChangeSource;
import org.amaranthpick.core.follow.FollowAnswer;
import org.amaranthpick.core.follow.FollowLink;
import org.amaranthpick.core.follow.FollowRequest;
import org.amaranthpick.core.follow.FollowedChange;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorSettings;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.OutgoingRequest;
import org.xnio.XnioWorker;

/**
 * Carries requests for changes between daemons, as JSON over HTTP. Changes that several followers
 * get are encoded once. Its connections are its own, since a request may be held for long.
 */
final class ChangeLink implements FollowLink, HttpHandler {
    static final String PATH = "/store-changes";

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int MAX_CONNECTIONS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_REQUEST_BYTES = 4096;
    private static final int MAX_REPLY_BYTES = 4 << 20;
    private static final String GZIP = "gzip";
    private static final byte[] CHANGES = ",\"changes\":".getBytes(UTF_8);
    private static final byte[] END = "}".getBytes(UTF_8);

    /** Length from which an answer is compressed: a large configuration fills narrow links. */
    private static final int MIN_COMPRESSED_BYTES = 16 * 1024;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpConnector mConnector;
    private final ChangeSource mSource;
    private List<FollowedChange> mLastEncoded = List.of();
    private byte[] mLastEncoding = "[]".getBytes(UTF_8);
    private Optional<byte[]> mLastCompressed = Optional.empty();

    ChangeLink(XnioWorker worker, Scheduler scheduler, ChangeSource source) {
        mConnector =
                new HttpConnector(
                        worker,
                        scheduler,
                        new ConnectorSettings(
                                MAX_CONNECTIONS, MAX_CONNECTIONS, CONNECT_TIMEOUT, IDLE_TIMEOUT));
        mSource = source;
    }

    @Override
    public void ask(
            String address,
            FollowRequest request,
            Duration timeout,
            Consumer<Optional<FollowAnswer>> then) {
        URI receiver;
        try {
            receiver = URI.create("http://" + address);
        } catch (IllegalArgumentException e) {
            then.accept(Optional.empty());
            return;
        }
        BodyCollector collector = new BodyCollector(MAX_REPLY_BYTES);
        collector.reply().thenAccept(reply -> then.accept(decode(reply)));
        mConnector.send(
                new OutgoingRequest(
                        receiver,
                        "POST",
                        PATH,
                        Map.of("Content-Type", "application/json", "Accept-Encoding", GZIP),
                        encode(request),
                        timeout,
                        Optional.of(timeout)),
                collector);
    }

    void close() {
        mConnector.close();
    }

    /** Decodes an answer; a daemon of a release without this path answers 404. */
    private static Optional<FollowAnswer> decode(BodyCollector.Reply reply) {
        if (!(reply.end() instanceof CallEnd.Complete) || reply.status() != StatusCodes.OK) {
            return Optional.empty();
        }
        boolean compressed = GZIP.equals(reply.headers().getFirst(Headers.CONTENT_ENCODING));
        try (InputStream body = new ByteArrayInputStream(reply.body());
                InputStream text = compressed ? new GZIPInputStream(body) : body) {
            byte[] json = text.readNBytes(MAX_REPLY_BYTES);
            return Optional.ofNullable(MAPPER.readValue(json, FollowAnswer.class));
        } catch (IOException e) {
            sLogger.atInfo().log("following: cannot read an answer: %s", e.getMessage());
            return Optional.empty();
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.setStatusCode(StatusCodes.NOT_FOUND);
            exchange.endExchange();
            return;
        }
        exchange.setMaxEntitySize(MAX_REQUEST_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) ->
                                exchange.dispatch(
                                        SameThreadExecutor.INSTANCE, () -> receive(exchange, body)),
                        (failed, e) -> {
                            exchange.setPersistent(false);
                            exchange.endExchange();
                        });
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        FollowRequest request;
        try {
            request = MAPPER.readValue(body, FollowRequest.class);
            if (request == null) {
                throw new IOException("the request is null");
            }
        } catch (IOException e) {
            sLogger.atInfo().log("following: cannot read a request: %s", e.getMessage());
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            exchange.endExchange();
            return;
        }
        String accepted = exchange.getRequestHeaders().getFirst(Headers.ACCEPT_ENCODING);
        mSource.ask(request, answer -> send(exchange, answer, GZIP.equals(accepted)));
    }

    private void send(HttpServerExchange exchange, FollowAnswer answer, boolean compressible) {
        if (answer.changes() != mLastEncoded) {
            mLastEncoded = answer.changes();
            mLastEncoding = encode(answer.changes());
            mLastCompressed = Optional.empty();
        }
        ObjectNode node = MAPPER.createObjectNode();
        node.put("live", answer.live());
        node.put("complete", answer.complete());
        node.put("revision", answer.revision());
        node.put("ageMs", answer.ageMs());
        node.put("heldMs", answer.heldMs());
        byte[] fields = encode(node);
        byte[] before = Arrays.copyOf(fields, fields.length - END.length);
        boolean compressed = compressible && mLastEncoding.length >= MIN_COMPRESSED_BYTES;
        if (compressed) {
            exchange.getResponseHeaders().put(Headers.CONTENT_ENCODING, GZIP);
        }
        exchange.getResponseSender()
                .send(
                        compressed
                                ? join(
                                        compress(join(before, CHANGES).array()),
                                        compressedChanges(),
                                        compress(END))
                                : join(before, CHANGES, mLastEncoding, END));
    }

    /** Returns the changes as a member of a gzip file, which is the same for all followers. */
    private byte[] compressedChanges() {
        byte[] compressed = mLastCompressed.orElseGet(() -> compress(mLastEncoding));
        mLastCompressed = Optional.of(compressed);
        return compressed;
    }

    private static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (OutputStream out = new GZIPOutputStream(compressed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return compressed.toByteArray();
    }

    private static ByteBuffer join(byte[]... parts) {
        ByteBuffer joined =
                ByteBuffer.allocate(Arrays.stream(parts).mapToInt(part -> part.length).sum());
        Arrays.stream(parts).forEach(joined::put);
        return joined.flip();
    }

    private static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
