package org.amaranthpick.server.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.manifest.LayerRange;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.upstream.CacheEvent;
import org.amaranthpick.core.upstream.CacheEventListener;
import org.amaranthpick.core.upstream.OrderReply;
import org.amaranthpick.core.upstream.UpstreamStatus;

/** Reads the JSON replies of engines, token streams aside. */
final class ReplyJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ReplyJson() {}

    static Optional<UpstreamStatus> status(byte[] body) {
        try {
            return Optional.of(status(MAPPER.readTree(body)));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Tells a listener of one line of the cache event stream; keep-alive lines are skipped.
     *
     * @throws IOException if the line is malformed
     */
    static void tellCacheEvent(CacheEventListener listener, byte[] bytes, int offset, int length)
            throws IOException {
        JsonNode json = MAPPER.readTree(bytes, offset, length);
        if (json.has("sequence")) {
            listener.onEvent(cacheEvent(json));
        }
    }

    private static CacheEvent cacheEvent(JsonNode json) {
        List<Long> blocks = new ArrayList<>();
        json.path("blocks").forEach(block -> blocks.add(block.asLong()));
        return new CacheEvent(
                json.path("boot_id").asText(),
                json.path("sequence").asLong(),
                json.path("stored").asBoolean(),
                blocks);
    }

    static OrderReply refusal(int status, byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException e) {
            return new OrderReply.Unknown("status " + status + " with a malformed body");
        }
        String type = json.path("type").asText();
        if (type.equals("fenced")) {
            return new OrderReply.Fenced(json.path("fence").asLong());
        }
        if (type.equals("refused")) {
            return new OrderReply.Refused(json.path("reason").asText());
        }
        return new OrderReply.Unknown("status " + status);
    }

    private static UpstreamStatus status(JsonNode json) throws IOException {
        if (!json.path("boot_id").isTextual()) {
            throw new IOException("a status lacks boot_id");
        }
        List<UpstreamSpec.Holding> holdings = new ArrayList<>();
        for (JsonNode holding : json.path("holdings")) {
            holding(holding).ifPresent(holdings::add);
        }
        JsonNode fence = json.path("fence");
        return new UpstreamStatus(
                json.path("boot_id").asText(),
                json.path("sampled_at_ms").asLong(),
                json.path("leaving").asBoolean(),
                holdings,
                json.path("running_streams").asInt(),
                json.path("queued_tokens").asLong(),
                json.path("free_memory_bytes").asLong(),
                fence.isNumber() ? Optional.of(fence.asLong()) : Optional.empty(),
                json.path("event_sequence").asLong());
    }

    private static Optional<UpstreamSpec.Holding> holding(JsonNode json) {
        LayerRange layers = new LayerRange(json.path("from").asInt(), json.path("to").asInt());
        List<Identity> adapters = new ArrayList<>();
        json.path("adapters").forEach(a -> Keys.parse(a.asText()).ifPresent(adapters::add));
        return Keys.parse(json.path("model").asText())
                .map(model -> new UpstreamSpec.Holding(model, layers, adapters));
    }
}
