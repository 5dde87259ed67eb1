package org.amaranthpick.server.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Options of a request that stand in its headers.
 *
 * @param priority 0 (lowest) to 9
 * @param deadline when the whole answer must be there, if stated
 * @param nonIdempotent true if it must run at most once
 * @param idempotencyKey key under which repeats are recognised
 */
record CallOptions(
        int priority,
        Optional<Instant> deadline,
        boolean nonIdempotent,
        Optional<String> idempotencyKey) {
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_PRIORITY = 9;
    private static final int MAX_KEY_LENGTH = 200;
    private static final long MAX_TIMEOUT_MS = Duration.ofHours(1).toMillis();

    static CallOptions read(HttpServerExchange exchange, InstantSource clock)
            throws FaultException {
        HeaderMap headers = exchange.getRequestHeaders();
        int priority =
                (int)
                        number(headers, CallerHeaders.PRIORITY, 0, MAX_PRIORITY)
                                .orElse((long) DEFAULT_PRIORITY)
                                .longValue();
        Optional<Instant> deadline =
                number(headers, CallerHeaders.TIMEOUT_MS, 1, MAX_TIMEOUT_MS)
                        .map(ms -> clock.instant().plusMillis(ms));
        return new CallOptions(priority, deadline, mark(headers), key(headers));
    }

    private static boolean mark(HeaderMap headers) throws FaultException {
        String text = single(headers, CallerHeaders.NON_IDEMPOTENT).orElse("false");
        if (!text.equals("true") && !text.equals("false")) {
            throw FaultException.badRequest(
                    CallerHeaders.NON_IDEMPOTENT + " is \"" + text + "\"", "send true or false");
        }
        return text.equals("true");
    }

    private static Optional<String> key(HeaderMap headers) throws FaultException {
        Optional<String> key = single(headers, CallerHeaders.IDEMPOTENCY_KEY);
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH)) {
            throw FaultException.badRequest(
                    CallerHeaders.IDEMPOTENCY_KEY + " is blank or too long",
                    "send 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }

    private static Optional<Long> number(HeaderMap headers, HttpString name, long min, long max)
            throws FaultException {
        Optional<String> text = single(headers, name);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        String remedy = "send a whole number from " + min + " to " + max;
        try {
            long value = Long.parseLong(text.get());
            if (value >= min && value <= max) {
                return Optional.of(value);
            }
        } catch (NumberFormatException e) {
            throw FaultException.badRequest(name + " is not a number", remedy);
        }
        throw FaultException.badRequest(name + " is out of range", remedy);
    }

    private static Optional<String> single(HeaderMap headers, HttpString name)
            throws FaultException {
        HeaderValues values = headers.get(name);
        if (values == null) {
            return Optional.empty();
        }
        if (values.size() > 1) {
            throw FaultException.badRequest(
                    name + " stands " + values.size() + " times", "send it once");
        }
        return Optional.of(values.getFirst());
    }
}
