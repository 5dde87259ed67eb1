package org.amaranthpick.standins;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a plain service on 127.0.0.1: echoes calls and counts how often each one ran. */
public final class ServiceStandIn implements AutoCloseable {
    private static final String NO_KEY = "";
    private static final int STATUS_UNAVAILABLE = 503;

    private final StandInServer mServer = new StandInServer(this::handle);
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();

    /** Closes connections without running the call. */
    public volatile boolean mDropUnrun;

    /** Runs the call and closes the connection without an answer. */
    public volatile boolean mDropAnswer;

    /** Runs the call and sends no answer. */
    public volatile boolean mSilent;

    /** Answers with status 503 without running the call. */
    public volatile boolean mUnavailable;

    /** Starts the service. */
    public ServiceStandIn() {
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
     * Counts the runs of the calls with an idempotency key.
     *
     * @param key idempotency key, empty for calls without one
     * @return number of runs
     */
    public int runs(String key) {
        AtomicInteger count = mRuns.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Counts the runs of all calls.
     *
     * @return number of runs
     */
    public int runs() {
        return mRuns.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /** Closes every open connection; new ones work. */
    public void closeConnections() {
        mServer.closeConnections();
    }

    /** Makes every open connection silent for good; new ones work. */
    public void silenceConnections() {
        mServer.silenceConnections();
    }

    /** Stops listening and closes every connection. */
    public void die() {
        mServer.die();
    }

    /** Listens again at the same address. */
    public void revive() {
        mServer.start();
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        if (mDropUnrun) {
            exchange.getConnection().close();
            return;
        }
        if (mServer.isSilent(exchange)) {
            Silence.keepOpen(exchange);
            return;
        }
        if (mUnavailable) {
            exchange.setStatusCode(STATUS_UNAVAILABLE);
            return;
        }
        byte[] body = exchange.getInputStream().readAllBytes();
        run(exchange);
        if (mDropAnswer) {
            exchange.getConnection().close();
        } else if (mSilent) {
            Silence.keepOpen(exchange);
        } else {
            echo(exchange, body);
        }
    }

    private void run(HttpServerExchange exchange) {
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        mRuns.computeIfAbsent(key == null ? NO_KEY : key, k -> new AtomicInteger())
                .incrementAndGet();
    }

    private static void echo(HttpServerExchange exchange, byte[] body) throws IOException {
        String type = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
        exchange.getResponseHeaders()
                .put(Headers.CONTENT_TYPE, type == null ? "application/octet-stream" : type);
        String query = exchange.getQueryString();
        String path = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
        exchange.getResponseHeaders().put(Headers.LOCATION, path);
        exchange.getOutputStream().write(body);
    }
}
