package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.amaranthpick.core.gateway.RetryAfterPolicy;

/** Sends responses that the gateway generates itself. */
final class GatewayResponses {
    private static final double MS_PER_S = 1000;

    private final GatewayDialect mDialect;
    private final RetryAfterPolicy mRetryAfterPolicy;

    GatewayResponses(GatewayDialect dialect, RandomGenerator random) {
        mDialect = dialect;
        mRetryAfterPolicy = new RetryAfterPolicy(random);
    }

    /** Reports that the request has not run and will not, and after which time to retry. */
    void sendNotRun(
            HttpServerExchange exchange,
            String requestId,
            Duration remainingTime,
            Optional<Duration> drainTime) {
        double retryAfterMs = mRetryAfterPolicy.retryAfter(drainTime, remainingTime).toMillis();
        exchange.getResponseHeaders()
                .put(
                        Headers.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
        send(exchange, requestId, StatusCodes.SERVICE_UNAVAILABLE, "not run; come back later\n");
    }

    /** Reports that the request has not run, and how long it will be refused. */
    void sendQuarantined(HttpServerExchange exchange, String requestId, Duration timeLeft) {
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, Long.toString(timeLeft.toSeconds() + 1));
        send(
                exchange,
                requestId,
                StatusCodes.SERVICE_UNAVAILABLE,
                "not run; the request or a part of its prompt crashes upstreams\n");
    }

    /** Reports that the request may have run, but its response was lost or did not come in time. */
    void sendInterrupted(HttpServerExchange exchange, String requestId, boolean timedOut) {
        int status = timedOut ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
        send(exchange, requestId, status, "interrupted; it may have run\n");
    }

    /** Sends a client error. */
    void sendRejected(HttpServerExchange exchange, String requestId, int status, String text) {
        send(exchange, requestId, status, text + "\n");
    }

    private void send(HttpServerExchange exchange, String requestId, int status, String text) {
        if (exchange.isResponseStarted()) {
            throw new IllegalStateException("the response has begun, status " + status);
        }
        exchange.setStatusCode(status);
        mDialect.setRequestId(exchange.getResponseHeaders(), requestId);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text, StandardCharsets.US_ASCII);
    }
}
