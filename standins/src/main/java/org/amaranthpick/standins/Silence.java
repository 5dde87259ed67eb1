package org.amaranthpick.standins;

import io.undertow.server.HttpServerExchange;

/** Keeps a connection open without another byte until the other side closes it. */
final class Silence {
    private Silence() {}

    static void keepOpen(HttpServerExchange exchange) {
        Runnable nothing = () -> {};
        exchange.dispatch(nothing);
    }
}
