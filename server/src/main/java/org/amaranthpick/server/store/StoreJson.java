package org.amaranthpick.server.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WatchListener;
import org.amaranthpick.core.store.WriterToken;

/** Reads the JSON of the store. */
final class StoreJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StoreJson() {}

    static ListResult list(byte[] body, long era) {
        try {
            JsonNode json = MAPPER.readTree(body);
            List<StoredObject> objects = new ArrayList<>();
            for (JsonNode object : json.path("objects")) {
                objects.add(object(object, era));
            }
            if (!json.path("revision").isIntegralNumber()) {
                return new ListResult.Unavailable("a list lacks its revision");
            }
            return new ListResult.Listed(objects, revision(json, era));
        } catch (IOException e) {
            return new ListResult.Unavailable("malformed list: " + e.getMessage());
        }
    }

    /**
     * Tells a listener of one line of a watch. Lines of unknown type are skipped.
     *
     * @throws IOException if the line is malformed
     */
    static void tell(WatchListener listener, long era, byte[] bytes, int offset, int length)
            throws IOException {
        JsonNode json = MAPPER.readTree(bytes, offset, length);
        switch (json.path("type").asText()) {
            case "written" -> listener.onWritten(object(json, era));
            case "deleted" ->
                    listener.onDeleted(required(json, "key").asText(), revision(json, era));
            case "progress" -> listener.onProgress(revision(json, era));
            default -> skip();
        }
    }

    /** Lines of unknown type only show that the watch is alive. */
    private static void skip() {}

    /** Reads a writer token; empty if the object was written by somebody else's program. */
    static Optional<WriterToken> writer(String text) {
        try {
            return text == null || text.isEmpty()
                    ? Optional.empty()
                    : Optional.of(WriterToken.parse(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static long revision(JsonNode json, long era) throws IOException {
        return StoreRevision.of(era, required(json, "revision").asLong());
    }

    private static StoredObject object(JsonNode json, long era) throws IOException {
        return new StoredObject(
                required(json, "key").asText(),
                StoreRevision.of(era, required(json, "version").asLong()),
                required(json, "value").binaryValue(),
                writer(json.path("writer").asText("")));
    }

    private static JsonNode required(JsonNode json, String field) throws IOException {
        JsonNode value = json.get(field);
        if (value == null) {
            throw new IOException("field " + field + " is missing");
        }
        return value;
    }
}
