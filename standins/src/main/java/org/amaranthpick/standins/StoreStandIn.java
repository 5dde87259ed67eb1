package org.amaranthpick.standins;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.MemoryObjectStore;
import org.amaranthpick.core.store.ReadResult;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;
import org.amaranthpick.core.store.WriteResult;
import org.amaranthpick.core.store.WriterToken;

/** Stand-in of the platform's object API over HTTP on 127.0.0.1, with values in memory. */
public final class StoreStandIn implements AutoCloseable {
    private static final HttpString WRITER = new HttpString("Writer-Token");
    private static final HttpString ERA = new HttpString("Store-Era");
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD = 405;
    private static final int STATUS_CONFLICT = 412;
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_THROTTLED = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final MemoryObjectStore mObjects = new MemoryObjectStore();
    private final StoreFaults mFaults = new StoreFaults();
    private final StandInServer mServer = new StandInServer(this::handle);
    private final StoreWatches mWatches = new StoreWatches(mObjects, mFaults);
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final Map<String, Optional<StoredObject>> mFrozen = new ConcurrentHashMap<>();

    /** Starts an empty store. */
    public StoreStandIn() {
        mServer.start();
    }

    /**
     * Returns the base address.
     *
     * @return address by IP number
     */
    public URI address() {
        return mServer.address();
    }

    /**
     * Returns the faults, to be changed at any time.
     *
     * @return live faults
     */
    public StoreFaults faults() {
        return mFaults;
    }

    /**
     * Returns the objects, past all faults.
     *
     * @return the store in memory
     */
    public MemoryObjectStore objects() {
        return mObjects;
    }

    /**
     * Counts the reads, lists and watches started.
     *
     * @return calls since the start
     */
    public long reads() {
        return mReads.sum();
    }

    /**
     * Counts the writes and deletes.
     *
     * @return calls since the start
     */
    public long writes() {
        return mWrites.sum();
    }

    /**
     * Counts the waiting watches.
     *
     * @return number of watches
     */
    public int watches() {
        return mWatches.count();
    }

    /** Makes reads stale from now on: each key read keeps the value that it has at this moment. */
    public void freezeReads() {
        mFrozen.clear();
        ListResult all = Results.now(mObjects.list(""));
        if (all instanceof ListResult.Listed listed) {
            listed.objects().forEach(o -> mFrozen.put(o.key(), Optional.of(o)));
        }
        mFaults.mStaleReads = true;
    }

    /** Closes every open connection; new ones work. */
    public void closeConnections() {
        mServer.closeConnections();
    }

    /** Makes every open connection silent for good; new ones work. */
    public void silenceConnections() {
        mServer.silenceConnections();
    }

    /** Stops listening; the objects stay. */
    public void stop() {
        mServer.die();
    }

    /** Listens again at the same address. */
    public void restart() {
        mServer.start();
    }

    @Override
    public void close() {
        mWatches.close();
        mServer.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (mFaults.mSilent || mServer.isSilent(exchange)) {
            Silence.keepOpen(exchange);
        } else if (mFaults.mOutage) {
            exchange.setStatusCode(STATUS_UNAVAILABLE);
        } else if (takeOne(mFaults.mThrottle)) {
            exchange.setStatusCode(STATUS_THROTTLED);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "2");
        } else {
            serve(exchange);
        }
    }

    private void serve(HttpServerExchange exchange) throws IOException {
        exchange.getResponseHeaders().put(ERA, mObjects.era());
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        switch (method + " " + path) {
            case "GET /v1/object" -> read(exchange);
            case "PUT /v1/object" -> write(exchange);
            case "DELETE /v1/object" -> delete(exchange);
            case "GET /v1/objects" -> list(exchange);
            case "GET /v1/watch" -> watch(exchange);
            default -> exchange.setStatusCode(STATUS_METHOD);
        }
    }

    private void read(HttpServerExchange exchange) throws IOException {
        mReads.increment();
        Optional<StoredObject> object = find(query(exchange, "key"));
        if (object.isEmpty()) {
            exchange.setStatusCode(STATUS_NOT_FOUND);
            return;
        }
        exchange.getResponseHeaders().put(Headers.ETAG, StoreHeaders.tag(object.get().version()));
        object.get()
                .writer()
                .ifPresent(w -> exchange.getResponseHeaders().put(WRITER, w.toString()));
        exchange.getOutputStream().write(object.get().value());
    }

    private Optional<StoredObject> find(String key) {
        if (mFaults.mStaleReads) {
            return mFrozen.getOrDefault(key, Optional.empty());
        }
        ReadResult result = Results.now(mObjects.read(key));
        return result instanceof ReadResult.Found found
                ? Optional.of(found.object())
                : Optional.empty();
    }

    private void write(HttpServerExchange exchange) throws IOException {
        mWrites.increment();
        Optional<WriteCondition> condition = condition(exchange);
        String writer = exchange.getRequestHeaders().getFirst(WRITER);
        if (condition.isEmpty() || writer == null) {
            exchange.setStatusCode(STATUS_BAD_REQUEST);
            return;
        }
        byte[] value = exchange.getInputStream().readNBytes(MemoryObjectStore.MAX_VALUE_BYTES + 1);
        if (value.length > MemoryObjectStore.MAX_VALUE_BYTES) {
            exchange.setStatusCode(STATUS_TOO_LARGE);
        } else if (takeOne(mFaults.mDropWrites)) {
            exchange.getConnection().close();
        } else {
            WriterToken token = WriterToken.parse(writer);
            String key = query(exchange, "key");
            answer(exchange, Results.now(mObjects.write(key, condition.get(), value, token)));
        }
    }

    private void delete(HttpServerExchange exchange) throws IOException {
        mWrites.increment();
        Optional<WriteCondition> condition = condition(exchange);
        if (condition.isPresent() && condition.get() instanceof WriteCondition.AtVersion at) {
            answer(exchange, Results.now(mObjects.delete(query(exchange, "key"), at.version())));
        } else {
            exchange.setStatusCode(STATUS_BAD_REQUEST);
        }
    }

    private Optional<WriteCondition> condition(HttpServerExchange exchange) {
        return StoreHeaders.condition(exchange.getRequestHeaders(), mObjects.era());
    }

    private void answer(HttpServerExchange exchange, WriteResult result) throws IOException {
        if (takeOne(mFaults.mLoseAnswers)) {
            exchange.getConnection().close();
        } else if (result instanceof WriteResult.Applied applied) {
            exchange.getResponseHeaders().put(Headers.ETAG, StoreHeaders.tag(applied.version()));
        } else {
            exchange.setStatusCode(STATUS_CONFLICT);
        }
    }

    private void list(HttpServerExchange exchange) throws IOException {
        mReads.increment();
        ListResult result = Results.now(mObjects.list(query(exchange, "prefix")));
        if (result instanceof ListResult.Listed listed) {
            Replies.json(exchange, StoreHeaders.list(listed));
        }
    }

    private void watch(HttpServerExchange exchange) throws IOException {
        mReads.increment();
        long after = StoreRevision.of(mObjects.era(), Long.parseLong(query(exchange, "after")));
        mWatches.serve(exchange, query(exchange, "prefix"), after);
    }

    private static String query(HttpServerExchange exchange, String name) {
        return exchange.getQueryParameters().get(name).getFirst();
    }

    private static boolean takeOne(AtomicInteger count) {
        return count.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
