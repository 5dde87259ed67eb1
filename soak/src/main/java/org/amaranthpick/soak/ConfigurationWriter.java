package org.amaranthpick.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumSet;
import java.util.Set;
import org.amaranthpick.platform.standin.MetadataStoreStandIn;
import org.amaranthpick.platform.standin.StandInPlatform;

/** Writes versions of the configuration, each with a key that no other version holds. */
final class ConfigurationWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MANY = 280;
    private static final String TIMEOUT_FIELD = "timeoutMs";
    private static final int LONGER_MS = 500;

    private final MetadataStoreStandIn mStore;
    private final Set<ConfigurationChange> mMade = EnumSet.noneOf(ConfigurationChange.class);
    private long mVersion = 1;

    ConfigurationWriter(MetadataStoreStandIn store) {
        mStore = store;
    }

    /** Key that only one version holds. */
    static String key(long version) {
        return "of-version-" + version;
    }

    synchronized long version() {
        return mVersion;
    }

    /** Makes a change, or takes it back if it is made. */
    synchronized void toggle(ConfigurationChange change) {
        if (!mMade.remove(change)) {
            mMade.add(change);
        }
        write();
    }

    /** Writes a new version. */
    synchronized void write() {
        mVersion++;
        try {
            ObjectNode root =
                    (ObjectNode) MAPPER.readTree(StandInPlatform.configurationJson(mVersion));
            ArrayNode keys = (ArrayNode) root.path("tenants").path(0).path("apiKeys");
            keys.add(key(mVersion));
            mMade.forEach(change -> apply(change, root));
            mStore.put("config", "main", root.toString());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the configuration of the stand-in is not JSON", e);
        }
    }

    private static void apply(ConfigurationChange change, ObjectNode root) {
        ArrayNode routes = (ArrayNode) root.path("routes");
        switch (change) {
            case ROUTE -> addRoute(routes, "added");
            case WEIGHTS -> {
                ObjectNode route = (ObjectNode) routes.get(1);
                for (int weight = 1; weight <= 2; weight++) {
                    route.withArray("split")
                            .addObject()
                            .put("service", route.path("service").asText())
                            .put("weight", weight);
                }
            }
            case TIMEOUT -> {
                for (JsonNode route : routes) {
                    int timeoutMs = route.path(TIMEOUT_FIELD).asInt() + LONGER_MS;
                    ((ObjectNode) route).put(TIMEOUT_FIELD, timeoutMs);
                }
            }
            case KEY -> ((ArrayNode) root.path("tenants").path(0).path("apiKeys")).add("key-2");
            case LIMITS ->
                    ((ObjectNode) root.path("limits"))
                            .put("maxBodyBytes", 90_000)
                            .put("headerTimeoutMs", 4000)
                            .put("idleTimeoutMs", 14_000);
            default -> {
                // MANY_ROUTES, the last of the changes.
                for (int i = 0; i < MANY; i++) {
                    addRoute(routes, "many-" + i);
                }
            }
        }
    }

    private static void addRoute(ArrayNode routes, String name) {
        ObjectNode route = routes.get(1).deepCopy();
        routes.add(route.put("name", name).put("pathPrefix", "/" + name + "/"));
    }
}
