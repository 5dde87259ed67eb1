package org.amaranthpick.core.manifest;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.manifest.ManifestDraft.Located;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/**
 * Reads fleets of a document into a draft. Faulty resources are left out; only their identities are
 * recorded.
 */
final class FleetReader {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    FleetReader(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void read(ManifestValue fleet) {
        mDraft.mFleets.add(fleet.fleet());
        Function<ManifestValue, LinkSpec> link = FleetReader::link;
        readSection(fleet, "domains", ResourceKind.DOMAIN, mDraft.mDomains, FleetReader::domain);
        readSection(fleet, "hosts", ResourceKind.HOST, mDraft.mHosts, FleetReader::host);
        readSection(
                fleet,
                "upstreams",
                ResourceKind.UPSTREAM,
                mDraft.mUpstreams,
                FleetReader::upstream);
        readSection(
                fleet,
                "modelVersions",
                ResourceKind.MODEL_VERSION,
                mDraft.mModelVersions,
                FleetReader::modelVersion);
        readSection(
                fleet, "adapters", ResourceKind.ADAPTER, mDraft.mAdapters, FleetReader::adapter);
        readSection(
                fleet,
                "pipelines",
                ResourceKind.PIPELINE,
                mDraft.mPipelines,
                FleetReader::pipeline);
        readSection(
                fleet,
                "workspaces",
                ResourceKind.WORKSPACE,
                mDraft.mWorkspaces,
                FleetReader::workspace);
        readSection(
                fleet, "services", ResourceKind.SERVICE, mDraft.mServices, FleetReader::service);
        for (ManifestValue item : fleet.items("links")) {
            readItem(item, link)
                    .ifPresent(spec -> mDraft.mLinks.add(new Located<>(spec, item.pointer())));
        }
        if (fleet.has("weightStore")) {
            readWeightStore(fleet.child("weightStore"));
        }
    }

    private <T> void readSection(
            ManifestValue fleet,
            String section,
            ResourceKind kind,
            ManifestDraft.Table<T> table,
            Function<ManifestValue, T> reader) {
        for (ManifestValue item : fleet.items(section)) {
            Optional<Identity> id = readItem(item.child("name"), name -> item.identity(kind));
            Optional<T> spec = readItem(item, reader);
            if (id.isPresent() && spec.isEmpty()) {
                table.addFaultyId(id.get());
            }
            if (id.isPresent() && spec.isPresent()) {
                addResource(table, id.get(), spec.get(), item.pointer());
            }
        }
    }

    private <T> void addResource(
            ManifestDraft.Table<T> table, Identity id, T spec, String pointer) {
        String earlier = table.add(id, spec, pointer);
        if (earlier != null) {
            mFaults.add(
                    pointer,
                    ManifestFault.Kind.DUPLICATE,
                    id.key() + " is defined twice with different content, first at " + earlier,
                    "remove or rename one of the two");
        }
    }

    private <T> Optional<T> readItem(ManifestValue item, Function<ManifestValue, T> reader) {
        if (mFaults.hasFaultWithin(item.pointer())) {
            return Optional.empty();
        }
        try {
            return Optional.of(item.convert(reader));
        } catch (InvalidValueException e) {
            ManifestFault.Kind kind =
                    e.isNameFault() ? ManifestFault.Kind.NAME : ManifestFault.Kind.VALUE;
            mFaults.add(e.pointer(), kind, e.getMessage(), "correct the value");
        }
        return Optional.empty();
    }

    private void readWeightStore(ManifestValue item) {
        if (mFaults.hasFaultWithin(item.pointer())) {
            return;
        }
        WeightStoreSpec spec =
                new WeightStoreSpec(
                        item.fleet(),
                        item.longValue("bytesPerSecond"),
                        item.intValue("concurrentLoads", 1));
        Located<WeightStoreSpec> earlier =
                mDraft.mWeightStores.putIfAbsent(item.fleet(), new Located<>(spec, item.pointer()));
        if (earlier != null && !earlier.spec().equals(spec)) {
            mFaults.add(
                    item.pointer(),
                    ManifestFault.Kind.DUPLICATE,
                    "fleet "
                            + item.fleet()
                            + " has two weight stores, first at "
                            + earlier.pointer(),
                    "remove one of the two");
        }
    }

    private static DomainSpec domain(ManifestValue item) {
        return new DomainSpec(item.identity(ResourceKind.DOMAIN), item.textValue("region"));
    }

    private static LinkSpec link(ManifestValue item) {
        boolean betweenUpstreams = item.textValue("between").equals("upstreams");
        ResourceKind kind = betweenUpstreams ? ResourceKind.UPSTREAM : ResourceKind.DOMAIN;
        return new LinkSpec(
                item.reference("from", kind),
                item.reference("to", kind),
                item.child("latency").convert(FleetReader::duration),
                item.longValue("bytesPerSecond"));
    }

    private static HostSpec host(ManifestValue item) {
        return new HostSpec(
                item.identity(ResourceKind.HOST),
                item.reference("domain", ResourceKind.DOMAIN),
                item.textValue("rack"));
    }

    private static UpstreamSpec upstream(ManifestValue item) {
        boolean engine = item.textValue("role").equals("engine");
        return new UpstreamSpec(
                item.identity(ResourceKind.UPSTREAM),
                engine ? UpstreamSpec.Role.ENGINE : UpstreamSpec.Role.SERVICE,
                item.reference("domain", ResourceKind.DOMAIN),
                item.optionalReference("host", ResourceKind.HOST),
                URI.create(item.textValue("address")),
                item.has("accelerator")
                        ? Optional.of(accelerator(item.child("accelerator")))
                        : Optional.empty(),
                item.booleanValue("honoursFencing"),
                item.booleanValue("checksOrderer"),
                item.items("holds").stream().map(FleetReader::holding).toList());
    }

    private static AcceleratorSpec accelerator(ManifestValue item) {
        return new AcceleratorSpec(
                item.textValue("kind"),
                item.intValue("count", 1),
                item.longValue("memoryBytes"),
                item.doubleValue("prefillLayerTokensPerSecond"),
                item.doubleValue("decodeLayerTokensPerSecond"),
                item.child("layerTime").convert(FleetReader::duration).toNanos(),
                item.intValue("maxStreams", 1));
    }

    private static UpstreamSpec.Holding holding(ManifestValue item) {
        return new UpstreamSpec.Holding(
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.child("layers").convert(FleetReader::layers),
                item.references("adapters", ResourceKind.ADAPTER));
    }

    private static LayerRange layers(ManifestValue item) {
        return new LayerRange(item.intValue("from", 0), item.intValue("to", 0));
    }

    private static Duration duration(ManifestValue item) {
        return Durations.parse(item.node().asText());
    }

    private static ModelVersionSpec modelVersion(ManifestValue item) {
        return new ModelVersionSpec(
                item.identity(ResourceKind.MODEL_VERSION),
                item.intValue("layers", 1),
                item.longValue("layerWeightBytes"),
                item.longValue("activationBytes"),
                item.longValue("kvBytesPerLayerToken"));
    }

    private static AdapterSpec adapter(ManifestValue item) {
        return new AdapterSpec(
                item.identity(ResourceKind.ADAPTER),
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.longValue("layerBytes"));
    }

    private static PipelineSpec pipeline(ManifestValue item) {
        return new PipelineSpec(
                item.identity(ResourceKind.PIPELINE),
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.optionalReference("adapter", ResourceKind.ADAPTER),
                item.intValue("minChains", 1));
    }

    private static WorkspaceSpec workspace(ManifestValue item) {
        ManifestValue limits = item.child("limits");
        List<String> hashes =
                item.items("credentialHashes").stream().map(hash -> hash.node().asText()).toList();
        return new WorkspaceSpec(
                item.identity(ResourceKind.WORKSPACE),
                hashes,
                new WorkspaceSpec.Limits(
                        limits.doubleValue("requestsPerSecond"),
                        limits.doubleValue("tokensPerSecond"),
                        limits.intValue("concurrentRequests", 1)),
                item.intValue("weight", 1),
                item.references("pipelines", ResourceKind.PIPELINE),
                item.references("services", ResourceKind.SERVICE));
    }

    private static ServiceSpec service(ManifestValue item) {
        List<ServiceSpec.CallPattern> patterns =
                item.items("nonIdempotent").stream()
                        .map(
                                pattern ->
                                        new ServiceSpec.CallPattern(
                                                pattern.textValue("method"),
                                                pattern.textValue("pathPrefix")))
                        .toList();
        return new ServiceSpec(
                item.identity(ResourceKind.SERVICE),
                item.references("upstreams", ResourceKind.UPSTREAM),
                patterns);
    }
}
