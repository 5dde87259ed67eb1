package org.amaranthpick.core.manifest;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Writes a manifest as JSON in the format that {@link ManifestLoader} reads. */
public final class ManifestWriter {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private ManifestWriter() {}

    /**
     * Writes a manifest as indented JSON.
     *
     * @param manifest manifest
     * @return JSON text
     */
    public static String write(Manifest manifest) {
        return toJson(manifest).toPrettyString();
    }

    /**
     * Converts a manifest to a JSON value.
     *
     * @param manifest manifest
     * @return JSON value with sections in a fixed order
     */
    public static ObjectNode toJson(Manifest manifest) {
        ObjectNode root = NODES.objectNode();
        ArrayNode fleets = root.putArray("fleets");
        manifest.fleets().forEach(fleet -> fleets.add(fleet(fleet, manifest)));
        return root;
    }

    private static ObjectNode fleet(String fleet, Manifest manifest) {
        ObjectNode node = NODES.objectNode().put("name", fleet);
        manifest.domains().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("domains").add(domain(spec)));
        manifest.links().stream()
                .filter(spec -> spec.from().fleet().equals(fleet))
                .forEach(spec -> node.withArray("links").add(link(spec)));
        manifest.hosts().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("hosts").add(host(spec)));
        manifest.weightStores().stream()
                .filter(spec -> spec.fleet().equals(fleet))
                .forEach(spec -> node.set("weightStore", weightStore(spec)));
        manifest.upstreams().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("upstreams").add(upstream(spec)));
        manifest.modelVersions().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("modelVersions").add(modelVersion(spec)));
        manifest.adapters().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("adapters").add(adapter(spec)));
        manifest.pipelines().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("pipelines").add(pipeline(spec)));
        manifest.workspaces().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("workspaces").add(workspace(spec)));
        manifest.services().stream()
                .filter(spec -> spec.id().fleet().equals(fleet))
                .forEach(spec -> node.withArray("services").add(service(spec)));
        return node;
    }

    private static ObjectNode domain(DomainSpec spec) {
        return nodeWithName(spec.id()).put("region", spec.region());
    }

    private static ObjectNode link(LinkSpec spec) {
        boolean betweenUpstreams = spec.from().kind() == ResourceKind.UPSTREAM;
        ObjectNode node = NODES.objectNode();
        node.put("between", betweenUpstreams ? "upstreams" : "domains");
        node.put("from", spec.from().qualifiedName());
        node.put("to", spec.to().qualifiedName());
        node.put("latency", spec.latency().toString());
        return node.put("bytesPerSecond", spec.bytesPerSecond());
    }

    private static ObjectNode host(HostSpec spec) {
        ObjectNode node = nodeWithName(spec.id()).put("domain", spec.domain().qualifiedName());
        return spec.rack().isEmpty() ? node : node.put("rack", spec.rack());
    }

    private static ObjectNode weightStore(WeightStoreSpec spec) {
        return NODES.objectNode()
                .put("bytesPerSecond", spec.bytesPerSecond())
                .put("concurrentLoads", spec.concurrentLoads());
    }

    private static ObjectNode upstream(UpstreamSpec spec) {
        boolean engine = spec.role() == UpstreamSpec.Role.ENGINE;
        ObjectNode node = nodeWithName(spec.id()).put("role", engine ? "engine" : "service");
        node.put("domain", spec.domain().qualifiedName());
        spec.host().ifPresent(host -> node.put("host", host.qualifiedName()));
        node.put("address", spec.address().toString());
        spec.accelerator()
                .ifPresent(accelerator -> node.set("accelerator", accelerator(accelerator)));
        node.put("honoursFencing", spec.honoursFencing());
        node.put("checksOrderer", spec.checksOrderer());
        spec.initialHoldings().forEach(holding -> node.withArray("holds").add(holding(holding)));
        return node;
    }

    private static ObjectNode accelerator(AcceleratorSpec spec) {
        return NODES.objectNode()
                .put("kind", spec.kind())
                .put("count", spec.count())
                .put("memoryBytes", spec.memoryBytes())
                .put("prefillLayerTokensPerSecond", spec.prefillLayerTokensPerSecond())
                .put("decodeLayerTokensPerSecond", spec.decodeLayerTokensPerSecond())
                .put("layerTime", spec.layerTimeNs() + "ns")
                .put("maxStreams", spec.maxStreams());
    }

    private static ObjectNode holding(UpstreamSpec.Holding holding) {
        ObjectNode node = NODES.objectNode();
        node.put("modelVersion", holding.modelVersion().qualifiedName());
        node.putObject("layers")
                .put("from", holding.layers().from())
                .put("to", holding.layers().to());
        putReferences(node, "adapters", holding.adapters());
        return node;
    }

    private static ObjectNode modelVersion(ModelVersionSpec spec) {
        return nodeWithName(spec.id())
                .put("layers", spec.layers())
                .put("layerWeightBytes", spec.layerWeightBytes())
                .put("activationBytes", spec.activationBytes())
                .put("kvBytesPerLayerToken", spec.kvBytesPerLayerToken());
    }

    private static ObjectNode adapter(AdapterSpec spec) {
        return nodeWithName(spec.id())
                .put("modelVersion", spec.modelVersion().qualifiedName())
                .put("layerBytes", spec.layerBytes());
    }

    private static ObjectNode pipeline(PipelineSpec spec) {
        ObjectNode node = nodeWithName(spec.id());
        node.put("modelVersion", spec.modelVersion().qualifiedName());
        spec.adapter().ifPresent(adapter -> node.put("adapter", adapter.qualifiedName()));
        return node.put("minChains", spec.minChains());
    }

    private static ObjectNode workspace(WorkspaceSpec spec) {
        ObjectNode node = nodeWithName(spec.id());
        spec.credentialHashes().forEach(node.putArray("credentialHashes")::add);
        node.putObject("limits")
                .put("requestsPerSecond", spec.limits().requestsPerSecond())
                .put("tokensPerSecond", spec.limits().tokensPerSecond())
                .put("concurrentRequests", spec.limits().concurrentRequests());
        node.put("weight", spec.weight());
        putReferences(node, "pipelines", spec.pipelines());
        putReferences(node, "services", spec.services());
        return node;
    }

    private static ObjectNode service(ServiceSpec spec) {
        ObjectNode node = nodeWithName(spec.id());
        ArrayNode upstreams = node.putArray("upstreams");
        spec.upstreams().forEach(upstream -> upstreams.add(upstream.qualifiedName()));
        for (ServiceSpec.CallPattern pattern : spec.nonIdempotent()) {
            node.withArray("nonIdempotent")
                    .addObject()
                    .put("method", pattern.method())
                    .put("pathPrefix", pattern.pathPrefix());
        }
        return node;
    }

    private static ObjectNode nodeWithName(Identity id) {
        return NODES.objectNode().put("name", id.name());
    }

    private static void putReferences(ObjectNode node, String field, List<Identity> references) {
        if (references.isEmpty()) {
            return;
        }
        ArrayNode array = node.putArray(field);
        references.forEach(reference -> array.add(reference.qualifiedName()));
    }
}
