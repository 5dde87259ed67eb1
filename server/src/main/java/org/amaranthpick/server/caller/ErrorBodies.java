package org.amaranthpick.server.caller;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.amaranthpick.core.request.Outcome;

/** JSON bodies of refused and interrupted requests. */
final class ErrorBodies {
    private static final JsonMapper MAPPER = new JsonMapper();

    private ErrorBodies() {}

    static String notRun(String requestId, Outcome.NotRun outcome) {
        ObjectNode error = MAPPER.createObjectNode();
        error.put("kind", outcome.reason().label());
        error.put("message", outcome.message());
        error.put("remedy", outcome.remedy());
        error.put("outcome", OutcomeLabel.NOT_RUN);
        error.put("request_id", requestId);
        outcome.retryAfter().ifPresent(wait -> error.put("retry_after_ms", wait.toMillis()));
        return wrap(error);
    }

    static String interrupted(String requestId, Outcome.Interrupted outcome) {
        ObjectNode error = MAPPER.createObjectNode();
        error.put("kind", "interrupted");
        error.put("message", outcome.message());
        error.put("remedy", outcome.remedy());
        error.put("outcome", OutcomeLabel.INTERRUPTED);
        error.put("request_id", requestId);
        error.put("tokens", outcome.tokens());
        return wrap(error);
    }

    private static String wrap(ObjectNode error) {
        return MAPPER.createObjectNode().set("error", error).toString();
    }
}
