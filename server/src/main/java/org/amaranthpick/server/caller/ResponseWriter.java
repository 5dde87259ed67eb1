package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.amaranthpick.core.request.Outcome;

/** Writes whole answers. */
final class ResponseWriter {
    static final String JSON = "application/json";

    private ResponseWriter() {}

    static void notRun(HttpServerExchange exchange, String requestId, Outcome.NotRun outcome) {
        notRun(exchange, requestId, OutcomeStatus.of(outcome.reason()), outcome);
    }

    static void notRun(
            HttpServerExchange exchange, String requestId, int status, Outcome.NotRun outcome) {
        outcome.retryAfter().ifPresent(wait -> retryAfter(exchange, wait));
        String body = ErrorBodies.notRun(requestId, outcome);
        send(exchange, requestId, status, OutcomeLabel.NOT_RUN, body);
    }

    static void interrupted(
            HttpServerExchange exchange, String requestId, Outcome.Interrupted outcome) {
        String body = ErrorBodies.interrupted(requestId, outcome);
        send(exchange, requestId, OutcomeStatus.INTERRUPTED, OutcomeLabel.INTERRUPTED, body);
    }

    static void send(
            HttpServerExchange exchange,
            String requestId,
            int status,
            String outcome,
            String body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        head(exchange, requestId, outcome, JSON);
        exchange.getResponseSender().send(body, StandardCharsets.UTF_8);
    }

    static void head(
            HttpServerExchange exchange, String requestId, String outcome, String contentType) {
        exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, requestId);
        exchange.getResponseHeaders().put(CallerHeaders.OUTCOME, outcome);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        String callerId = exchange.getRequestHeaders().getFirst(CallerHeaders.CALLER_REQUEST_ID);
        if (callerId != null) {
            exchange.getResponseHeaders().put(CallerHeaders.CALLER_REQUEST_ID, callerId);
        }
    }

    private static void retryAfter(HttpServerExchange exchange, Duration wait) {
        long seconds = Math.max(1, wait.plusMillis(999).toSeconds());
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
    }
}
