package org.amaranthpick.server.gateway;

/** Receives events of an exchange that concern others. */
interface ExchangeListener {
    /** Handles the end of the exchange. */
    void onEnded(ForwardedExchange exchange);

    /** Handles an engine that was found not to respond. */
    void onEngineUnresponsive(String engineId, String reason);
}
