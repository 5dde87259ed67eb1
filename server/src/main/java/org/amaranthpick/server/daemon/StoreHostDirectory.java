package org.amaranthpick.server.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.amaranthpick.core.member.HostDirectory;
import org.amaranthpick.core.member.ListedHost;
import org.amaranthpick.core.member.PeerAddress;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;
import org.amaranthpick.core.store.ListResult;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.StoredObject;

/**
 * The platform's host list as objects under {@code hosts/} of its object API, one JSON object per
 * host; the daemons of the settings stand in for hosts that are not listed.
 */
public final class StoreHostDirectory implements HostDirectory {
    /** Start of the keys. */
    public static final String PREFIX = "hosts/";

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final JsonMapper MAPPER = new JsonMapper();

    private final ObjectStore mStore;
    private final List<ListedHost> mSeeds;

    /**
     * Creates the directory.
     *
     * @param store the platform's object API
     * @param seeds hosts known from the settings
     */
    public StoreHostDirectory(ObjectStore store, List<ListedHost> seeds) {
        mStore = store;
        mSeeds = List.copyOf(seeds);
    }

    @Override
    public CompletionStage<List<ListedHost>> read() {
        return mStore.list(PREFIX).thenApply(this::hosts);
    }

    /**
     * Returns the key of a host.
     *
     * @param host identity of kind HOST
     * @return key of its object
     */
    public static String key(Identity host) {
        return PREFIX + host.fleet() + "/" + host.name();
    }

    /**
     * Writes one entry in the list's format.
     *
     * @param host entry
     * @return JSON bytes
     */
    public static byte[] encode(ListedHost host) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("fleet", host.host().fleet()).put("name", host.host().name());
        node.put("domain", host.domain().qualifiedName()).put("region", host.region());
        host.address().ifPresent(a -> node.put("ip", a.ip()).put("port", a.port()));
        host.leavingSince().ifPresent(at -> node.put("leavingSince", at.toString()));
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private List<ListedHost> hosts(ListResult result) {
        Map<Identity, ListedHost> hosts = new TreeMap<>();
        mSeeds.forEach(seed -> hosts.put(seed.host(), seed));
        if (result instanceof ListResult.Listed listed) {
            for (StoredObject object : listed.objects()) {
                decode(object).ifPresent(host -> hosts.put(host.host(), host));
            }
        }
        return new ArrayList<>(hosts.values());
    }

    private static Optional<ListedHost> decode(StoredObject object) {
        try {
            JsonNode node = MAPPER.readTree(object.value());
            String fleet = node.path("fleet").asText();
            Identity host = new Identity(fleet, ResourceKind.HOST, node.path("name").asText());
            Identity domain =
                    Identity.resolve(fleet, ResourceKind.DOMAIN, node.path("domain").asText());
            Optional<PeerAddress> address =
                    node.has("ip")
                            ? Optional.of(
                                    new PeerAddress(
                                            node.path("ip").asText(), node.path("port").asInt()))
                            : Optional.empty();
            Optional<Instant> leaving =
                    node.has("leavingSince")
                            ? Optional.of(Instant.parse(node.path("leavingSince").asText()))
                            : Optional.empty();
            return Optional.of(
                    new ListedHost(host, address, domain, node.path("region").asText(), leaving));
        } catch (IOException | IllegalArgumentException | java.time.DateTimeException e) {
            sLogger.atWarning().log("hosts: entry %s is malformed, %s", object.key(), e);
            return Optional.empty();
        }
    }
}
