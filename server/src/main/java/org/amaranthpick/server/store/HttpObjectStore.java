package org.amaranthpick.server.store;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.Watch;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;
import org.amaranthpick.core.time.Scheduler;
import org.amaranthpick.server.http.BodyCollector;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.server.http.ConnectorCounters;
import org.amaranthpick.server.http.HttpConnector;
import org.amaranthpick.server.http.LineStream;
import org.amaranthpick.server.http.OutgoingRequest;
import org.xnio.XnioWorker;

/**
 * Speaks the HTTP dialect of the platform's object API. Responses are read in the era that they
 * name; one of an earlier era than the highest counts as no response.
 */
public final class HttpObjectStore implements ObjectStore {
    private static final String WRITER = "Writer-Token";
    private static final HttpString ERA = new HttpString("Store-Era");
    private static final int STATUS_OK = 200;
    private static final int FIRST_STATUS_NOT_OK = 300;
    private static final int FIRST_STATUS_SERVER = 500;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 412;
    private static final int STATUS_THROTTLED = 429;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int HEADROOM_BYTES = 1024;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpConnector mConnector;
    private final URI mAddress;
    private final StoreSettings mSettings;
    private final StoreEra mEra = new StoreEra(ERA);

    /**
     * Creates a client without connections.
     *
     * @param address scheme, IP number and port of the store
     * @param worker gives the I/O threads; stays the caller's to shut down
     * @param scheduler clock and timers
     * @param settings bounds of the calls
     */
    public HttpObjectStore(
            URI address, XnioWorker worker, Scheduler scheduler, StoreSettings settings) {
        mAddress = address;
        mSettings = settings;
        mConnector = new HttpConnector(worker, scheduler, settings.connector());
    }

    /**
     * Response of the store.
     *
     * @param reply status, headers and body
     * @param era era of the response
     * @param current whether no later era is known
     */
    private record EraReply(BodyCollector.Reply reply, long era, boolean current) {
        Optional<String> failure() {
            if (reply.end() instanceof CallEnd.NotSent unsent) {
                return Optional.of(unsent.reason());
            }
            if (reply.end() instanceof CallEnd.Lost lost) {
                return Optional.of(lost.reason());
            }
            return current ? Optional.empty() : Optional.of("the response is of era " + era);
        }

        Optional<Long> version() {
            String tag = reply.headers().getFirst(Headers.ETAG);
            try {
                return tag == null
                        ? Optional.empty()
                        : Optional.of(StoreRevision.of(era, Long.parseLong(tag.replace("\"", ""))));
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        String unexpected() {
            return "the store answered with status " + reply.status();
        }
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        return send("GET", objectPath(key), Map.of(), NO_BODY, MAX_VALUE_BYTES + HEADROOM_BYTES)
                .thenApply(reply -> readResult(key, reply));
    }

    @Override
    public CompletionStage<WriteResult> write(
            String key, WriteCondition condition, byte[] value, WriterToken writer) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + value.length + " bytes is over the store's limit; split it");
        }
        if (condition instanceof WriteCondition.AtVersion at) {
            Map<String, String> headers =
                    Map.of("If-Match", quoted(at.version()), WRITER, writer.toString());
            return writeAt(at.version(), "PUT", key, headers, value);
        }
        Map<String, String> headers = Map.of("If-None-Match", "*", WRITER, writer.toString());
        return send("PUT", objectPath(key), headers, value, HEADROOM_BYTES)
                .thenApply(HttpObjectStore::writeResult);
    }

    @Override
    public CompletionStage<WriteResult> delete(String key, long version) {
        Map<String, String> headers = Map.of("If-Match", quoted(version));
        return writeAt(version, "DELETE", key, headers, NO_BODY);
    }

    /** Changes an object on the condition of a version, which holds only in the era of it. */
    private CompletionStage<WriteResult> writeAt(
            long version, String method, String key, Map<String, String> headers, byte[] body) {
        long era = StoreRevision.era(version);
        if (era != mEra.current()) {
            return CompletableFuture.completedFuture(new WriteResult.Conflict());
        }
        return send(method, objectPath(key), headers, body, HEADROOM_BYTES)
                .thenApply(
                        reply -> {
                            WriteResult result = writeResult(reply);
                            return result instanceof WriteResult.Applied && reply.era() != era
                                    ? new WriteResult.Unknown(
                                            "the condition was met in era " + reply.era())
                                    : result;
                        });
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        String path = "/v1/objects?prefix=" + encoded(prefix);
        return send("GET", path, Map.of(), NO_BODY, mSettings.maxListBytes())
                .thenApply(HttpObjectStore::listResult);
    }

    @Override
    public Watch watch(String prefix, long afterRevision, WatchListener listener) {
        long era = StoreRevision.era(afterRevision);
        LineStream stream =
                new LineStream(
                        mSettings.maxLineBytes(),
                        (bytes, offset, length) ->
                                StoreJson.tell(listener, era, bytes, offset, length),
                        listener::onEnded);
        stream.setHeaderCheck(
                headers -> {
                    long shown = mEra.observe(headers);
                    return shown == era
                            ? Optional.empty()
                            : Optional.of("the store is in era " + shown);
                });
        OutgoingRequest request =
                new OutgoingRequest(
                        mAddress,
                        "GET",
                        "/v1/watch?prefix="
                                + encoded(prefix)
                                + "&after="
                                + StoreRevision.number(afterRevision),
                        withToken(Map.of()),
                        NO_BODY,
                        mSettings.watchSilence(),
                        Optional.empty());
        stream.start(mConnector, request);
        return stream::close;
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
    public long era() {
        return mEra.current();
    }

    @Override
    public void close() {
        mConnector.close();
    }

    private CompletionStage<EraReply> send(
            String method, String path, Map<String, String> headers, byte[] body, int maxBytes) {
        BodyCollector collector = new BodyCollector(maxBytes);
        Duration timeout = mSettings.callTimeout();
        mConnector.send(
                new OutgoingRequest(
                        mAddress,
                        method,
                        path,
                        withToken(headers),
                        body,
                        timeout,
                        Optional.of(timeout)),
                collector);
        return collector
                .reply()
                .thenApply(
                        reply -> {
                            long era = mEra.observe(reply.headers());
                            return new EraReply(reply, era, era == mEra.current());
                        });
    }

    private Map<String, String> withToken(Map<String, String> headers) {
        if (mSettings.token().isEmpty()) {
            return headers;
        }
        Map<String, String> all = new HashMap<>(headers);
        all.put("Authorization", "Bearer " + mSettings.token().get());
        return all;
    }

    private static ReadResult readResult(String key, EraReply response) {
        BodyCollector.Reply reply = response.reply();
        Optional<String> failure = response.failure();
        if (failure.isPresent()) {
            return new ReadResult.Unavailable(failure.get());
        }
        if (reply.status() == STATUS_NOT_FOUND) {
            return new ReadResult.Missing();
        }
        if (reply.status() == STATUS_THROTTLED) {
            return new ReadResult.Throttled(retryAfter(reply.headers()));
        }
        Optional<Long> version = response.version();
        if (reply.status() != STATUS_OK || version.isEmpty()) {
            return new ReadResult.Unavailable(response.unexpected());
        }
        Optional<WriterToken> writer = StoreJson.writer(reply.headers().getFirst(WRITER));
        return new ReadResult.Found(new StoredObject(key, version.get(), reply.body(), writer));
    }

    private static ListResult listResult(EraReply response) {
        Optional<String> failure = response.failure();
        if (failure.isPresent()) {
            return new ListResult.Unavailable(failure.get());
        }
        return response.reply().status() == STATUS_OK
                ? StoreJson.list(response.reply().body(), response.era())
                : new ListResult.Unavailable(response.unexpected());
    }

    /** A server error, or an answer that makes no sense, leaves open whether the write was made. */
    private static WriteResult writeResult(EraReply response) {
        BodyCollector.Reply reply = response.reply();
        if (reply.end() instanceof CallEnd.NotSent unsent) {
            return new WriteResult.Unavailable(unsent.reason());
        }
        Optional<String> failure = response.failure();
        if (failure.isPresent()) {
            return new WriteResult.Unknown(failure.get());
        }
        if (reply.status() == STATUS_CONFLICT) {
            return new WriteResult.Conflict();
        }
        if (reply.status() == STATUS_THROTTLED) {
            return new WriteResult.Throttled(retryAfter(reply.headers()));
        }
        Optional<Long> version = response.version();
        if (reply.status() < FIRST_STATUS_NOT_OK && version.isPresent()) {
            return new WriteResult.Applied(version.get());
        }
        boolean refused =
                reply.status() >= FIRST_STATUS_NOT_OK && reply.status() < FIRST_STATUS_SERVER;
        return refused
                ? new WriteResult.Unavailable(response.unexpected())
                : new WriteResult.Unknown(response.unexpected());
    }

    private static Duration retryAfter(HeaderMap headers) {
        String seconds = headers.getFirst(Headers.RETRY_AFTER);
        try {
            return seconds == null
                    ? DEFAULT_RETRY_AFTER
                    : Duration.ofSeconds(Long.parseLong(seconds.trim()));
        } catch (NumberFormatException e) {
            return DEFAULT_RETRY_AFTER;
        }
    }

    private static String objectPath(String key) {
        return "/v1/object?key=" + encoded(key);
    }

    private static String quoted(long version) {
        return "\"" + StoreRevision.number(version) + "\"";
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
