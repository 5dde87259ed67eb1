package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;

/** Replies that engine stand-ins share. */
final class Replies {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_UNAVAILABLE = 503;

    private Replies() {}

    static void json(HttpServerExchange exchange, JsonNode json) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getOutputStream().write(MAPPER.writeValueAsBytes(json));
    }

    static void refused(HttpServerExchange exchange, String upstream, String reason)
            throws IOException {
        exchange.setStatusCode(STATUS_UNAVAILABLE);
        json(
                exchange,
                MAPPER.createObjectNode()
                        .put("type", "refused")
                        .put("upstream", upstream)
                        .put("reason", reason));
    }
}
