package org.amaranthpick.server.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.HashSet;
import java.util.Set;
import org.amaranthpick.core.time.Cancellable;
import org.amaranthpick.server.http.ConnectionWatch;

/**
 * Exchanges from the head of their request until the response is written out or the connection is
 * closed. Confined to the I/O thread.
 */
final class PendingResponses {
    private final Set<HttpServerExchange> mOpen = new HashSet<>();

    void add(HttpServerExchange exchange) {
        mOpen.add(exchange);
        Cancellable watch =
                ConnectionWatch.start(exchange.getConnection(), () -> mOpen.remove(exchange));
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    watch.cancel();
                    mOpen.remove(completed);
                    next.proceed();
                });
    }

    int count() {
        return mOpen.size();
    }

    /** Lets each response that has not begun announce that its connection closes after it. */
    void closeAfterResponses() {
        mOpen.stream()
                .filter(exchange -> !exchange.isResponseStarted())
                .forEach(exchange -> exchange.setPersistent(false));
    }
}
