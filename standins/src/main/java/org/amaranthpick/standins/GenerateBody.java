package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.amaranthpick.core.manifest.LayerRange;

/**
 * Body of a generate call as an engine reads it.
 *
 * @param requestId id of the request
 * @param attempt attempt number
 * @param model key of the model version
 * @param adapter key of the adapter, empty for none
 * @param hops stages
 * @param prompt prompt text
 * @param emitted tokens emitted so far
 * @param maxTokens tokens of the whole answer
 */
record GenerateBody(
        String requestId,
        int attempt,
        String model,
        String adapter,
        List<Stage> hops,
        String prompt,
        List<String> emitted,
        int maxTokens) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * One stage.
     *
     * @param upstream key of the upstream
     * @param url its address
     * @param layers layers that it runs
     * @param kv {@code compute}, {@code keep} or {@code import}
     * @param kvFromUrl address of the exporter, empty if nothing is imported
     */
    record Stage(String upstream, String url, LayerRange layers, String kv, String kvFromUrl) {}

    static GenerateBody read(InputStream body) throws IOException {
        JsonNode json = MAPPER.readTree(body);
        List<Stage> hops = new ArrayList<>();
        for (JsonNode hop : json.path("hops")) {
            hops.add(
                    new Stage(
                            hop.path("upstream").asText(),
                            hop.path("url").asText(),
                            new LayerRange(hop.path("from").asInt(), hop.path("to").asInt()),
                            hop.path("kv").asText(),
                            hop.path("kv_from_url").asText("")));
        }
        List<String> emitted = new ArrayList<>();
        json.path("emitted").forEach(token -> emitted.add(token.asText()));
        return new GenerateBody(
                json.path("request").asText(),
                json.path("attempt").asInt(),
                json.path("model").asText(),
                json.path("adapter").asText(""),
                hops,
                json.path("prompt").asText(),
                emitted,
                json.path("max_tokens").asInt());
    }

    /** Counts the prompt tokens: words of the prompt. */
    int promptTokens() {
        return prompt.isBlank() ? 0 : prompt.trim().split("\\s+").length;
    }
}
