package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** Answers of the daemon's own. */
final class Refusals {
    /** Callers heed a time to come back of up to a third of what they have left. */
    private static final double MOST_OF_LEFT = 0.3;

    /** Time after which a refused caller may come back, spread so that not all return at once. */
    private static final Duration SHORTEST_RETURN = Duration.ofMillis(400);

    private static final Duration LONGEST_RETURN = Duration.ofMillis(1400);

    private final GatewayDialect mDialect;
    private final RandomGenerator mRandom;

    Refusals(GatewayDialect dialect, RandomGenerator random) {
        mDialect = dialect;
        mRandom = random;
    }

    /** Tells that the request has not run and never will, and when to come back. */
    void notRun(HttpServerExchange exchange, String requestId, Duration left) {
        double spreadMs =
                SHORTEST_RETURN.toMillis()
                        + mRandom.nextDouble()
                                * (LONGEST_RETURN.toMillis() - SHORTEST_RETURN.toMillis());
        double returnMs = Math.max(1, Math.min(spreadMs, left.toMillis() * MOST_OF_LEFT));
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", returnMs / 1000));
        send(exchange, requestId, StatusCodes.SERVICE_UNAVAILABLE, "not run; come back later\n");
    }

    /** Tells that the request may have run and its answer is lost. */
    void interrupted(HttpServerExchange exchange, String requestId, boolean late) {
        int status = late ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
        send(exchange, requestId, status, "interrupted; it may have run\n");
    }

    /** Answers with a client error. */
    void rejected(HttpServerExchange exchange, String requestId, int status, String text) {
        send(exchange, requestId, status, text + "\n");
    }

    private void send(HttpServerExchange exchange, String requestId, int status, String text) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        mDialect.nameRequest(exchange.getResponseHeaders(), requestId);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text, StandardCharsets.US_ASCII);
    }
}
