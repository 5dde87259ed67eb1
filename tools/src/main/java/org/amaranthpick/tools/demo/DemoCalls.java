package org.amaranthpick.tools.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthpick.server.http.CallEnd;
import org.amaranthpick.standins.ExpectedText;
import org.amaranthpick.tools.client.CommandClient;

/** Calls of the demo's callers, and the answers that are right. */
final class DemoCalls {
    private static final JsonMapper MAPPER = new JsonMapper();

    /** Outcome of a call whose connection broke: the caller sees that nothing was told. */
    static final String CUT = "connection cut";

    private static final String DATA = "data: ";

    private final CommandClient mClient;

    /**
     * Streamed answer.
     *
     * @param text text of all tokens
     * @param outcome outcome told in the stream
     */
    record Streamed(String text, String outcome) {}

    DemoCalls(CommandClient client) {
        mClient = client;
    }

    /** Makes one streamed chat completion; {@code atToken} runs when that many tokens came. */
    CompletableFuture<Streamed> stream(
            URI daemon, DemoFleet fleet, String question, int tokens, int atToken, Runnable run) {
        StringBuilder events = new StringBuilder();
        AtomicInteger seen = new AtomicInteger();
        return mClient.stream(
                        daemon,
                        "/v1/chat/completions",
                        fleet.credential(),
                        body(question, tokens),
                        text -> {
                            events.append(text);
                            int now = count(events, "\"content\"");
                            if (seen.getAndSet(now) < atToken && now >= atToken) {
                                run.run();
                            }
                        })
                .thenApply(end -> parse(events.toString(), end));
    }

    /** Calls the checkout of the booking service, which must not run twice. */
    CommandClient.Answer checkout(URI daemon, DemoFleet fleet, String key) {
        return mClient.call(
                daemon,
                "POST",
                "/services/" + DemoFleet.SERVICE + "/checkout",
                fleet.credential(),
                Map.of("Idempotency-Key", key),
                "{\"camera\":7}");
    }

    static String expected(DemoFleet fleet, String question, int tokens) {
        String prompt = "user: " + question + "\n";
        return ExpectedText.answer(fleet.modelVersion().key(), "", prompt, tokens);
    }

    private static String body(String question, int tokens) {
        var root = MAPPER.createObjectNode();
        root.put("model", DemoFleet.PIPELINE).put("stream", true).put("max_tokens", tokens);
        root.putArray("messages").addObject().put("role", "user").put("content", question);
        return root.toString();
    }

    private static Streamed parse(String events, CallEnd end) {
        StringBuilder text = new StringBuilder();
        String outcome = end instanceof CallEnd.Complete ? "none" : CUT;
        for (String line : events.split("\n", -1)) {
            if (line.startsWith(DATA) && line.startsWith("{", DATA.length())) {
                JsonNode event = json(line.substring(DATA.length()));
                text.append(event.at("/choices/0/delta/content").asText(""));
                outcome = event.path("outcome").asText(outcome);
                outcome = event.at("/error/outcome").asText(outcome);
            } else if (line.startsWith("{")) {
                outcome = line;
            }
        }
        return new Streamed(text.toString(), outcome);
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode().put("outcome", "unreadable event");
        }
    }

    private static int count(CharSequence text, String word) {
        int count = 0;
        String all = text.toString();
        for (int at = all.indexOf(word); at >= 0; at = all.indexOf(word, at + 1)) {
            count++;
        }
        return count;
    }
}
