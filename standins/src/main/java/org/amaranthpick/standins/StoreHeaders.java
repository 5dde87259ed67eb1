package org.amaranthpick.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Base64;
import java.util.Optional;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.StoreRevision;
import org.amaranthpick.core.store.StoredObject;
import org.amaranthpick.core.store.WriteCondition;

/** Headers and JSON of the store's HTTP dialect. */
final class StoreHeaders {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StoreHeaders() {}

    static Optional<WriteCondition> condition(HeaderMap headers, long era) {
        String none = headers.getFirst(Headers.IF_NONE_MATCH);
        if ("*".equals(none)) {
            return Optional.of(new WriteCondition.Absent());
        }
        String match = headers.getFirst(Headers.IF_MATCH);
        if (match == null) {
            return Optional.empty();
        }
        long number = Long.parseLong(match.replace("\"", ""));
        return Optional.of(new WriteCondition.AtVersion(StoreRevision.of(era, number)));
    }

    static String tag(long version) {
        return "\"" + StoreRevision.number(version) + "\"";
    }

    static ObjectNode list(ListResult.Listed listed) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", StoreRevision.number(listed.revision()));
        ArrayNode objects = json.putArray("objects");
        listed.objects().forEach(object -> objects.add(object(object)));
        return json;
    }

    static ObjectNode written(StoredObject object) {
        return object(object).put("type", "written");
    }

    static ObjectNode deleted(String key, long revision) {
        return MAPPER.createObjectNode()
                .put("type", "deleted")
                .put("key", key)
                .put("revision", StoreRevision.number(revision));
    }

    static ObjectNode progress(long revision) {
        return MAPPER.createObjectNode()
                .put("type", "progress")
                .put("revision", StoreRevision.number(revision));
    }

    private static ObjectNode object(StoredObject object) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("key", object.key());
        json.put("version", StoreRevision.number(object.version()));
        json.put("value", Base64.getEncoder().encodeToString(object.value()));
        object.writer().ifPresent(writer -> json.put("writer", writer.toString()));
        return json;
    }
}
