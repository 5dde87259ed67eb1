package org.amaranthpick.server.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.amaranthpick.core.config.Configuration;
import org.amaranthpick.core.manifest.UpstreamSpec;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.route.Hop;
import org.amaranthpick.core.route.KvSource;
import org.amaranthpick.core.upstream.GenerateCall;
import org.amaranthpick.core.upstream.UpstreamOrder;

/** Writes the JSON bodies sent to engines. */
final class RequestJson {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_BYTES = 1024;

    private RequestJson() {}

    /** Writes one body. */
    private interface Body {
        void write(JsonGenerator json) throws IOException;
    }

    static byte[] generate(Configuration configuration, GenerateCall call) {
        return toBytes(
                json -> {
                    json.writeStringField("request", call.requestId());
                    json.writeNumberField("attempt", call.attempt());
                    json.writeStringField("workspace", call.workspace().key());
                    json.writeStringField("model", call.chain().modelVersion().key());
                    json.writeArrayFieldStart("hops");
                    for (Hop hop : call.chain().hops()) {
                        writeHop(json, configuration, hop);
                    }
                    json.writeEndArray();
                    writeRest(json, call);
                });
    }

    static byte[] cancel(String requestId, int attempt) {
        return toBytes(
                json -> {
                    json.writeStringField("request", requestId);
                    json.writeNumberField("attempt", attempt);
                });
    }

    static byte[] order(UpstreamOrder order) {
        return toBytes(
                json -> {
                    json.writeStringField("shard", order.shard());
                    json.writeNumberField("fence", order.fence());
                    json.writeNumberField("sequence", order.sequence());
                    json.writeStringField("orderer", order.orderer());
                    json.writeArrayFieldStart("target");
                    for (UpstreamSpec.Holding holding : order.target()) {
                        writeHolding(json, holding);
                    }
                    json.writeEndArray();
                });
    }

    private static void writeRest(JsonGenerator json, GenerateCall call) throws IOException {
        if (call.adapter().isPresent()) {
            json.writeStringField("adapter", call.adapter().get().key());
        }
        json.writeStringField("prompt", call.prompt());
        json.writeArrayFieldStart("emitted");
        for (String token : call.emitted()) {
            json.writeString(token);
        }
        json.writeEndArray();
        json.writeNumberField("max_tokens", call.maxTokens());
        json.writeNumberField("priority", call.priority());
        if (call.timeLeft().isPresent()) {
            json.writeNumberField("time_left_ms", call.timeLeft().get().toMillis());
        }
    }

    private static void writeHop(JsonGenerator json, Configuration configuration, Hop hop)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("upstream", hop.upstream().key());
        json.writeStringField("url", address(configuration, hop.upstream()));
        json.writeNumberField("from", hop.layers().from());
        json.writeNumberField("to", hop.layers().to());
        if (hop.kv() instanceof KvSource.Keep) {
            json.writeStringField("kv", "keep");
        } else if (hop.kv() instanceof KvSource.Import source) {
            json.writeStringField("kv", "import");
            json.writeStringField("kv_from", source.from().key());
            json.writeStringField("kv_from_url", address(configuration, source.from()));
        } else {
            json.writeStringField("kv", "compute");
        }
        json.writeEndObject();
    }

    private static void writeHolding(JsonGenerator json, UpstreamSpec.Holding holding)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("model", holding.modelVersion().key());
        json.writeNumberField("from", holding.layers().from());
        json.writeNumberField("to", holding.layers().to());
        json.writeArrayFieldStart("adapters");
        for (Identity adapter : holding.adapters()) {
            json.writeString(adapter.key());
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Returns the address, or an empty text for an upstream that left the configuration. */
    private static String address(Configuration configuration, Identity upstream) {
        return configuration.upstream(upstream).map(u -> u.address().toString()).orElse("");
    }

    private static byte[] toBytes(Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            body.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
