package org.amaranthpick.core.manifest;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthpick.core.manifest.ManifestDraft.Placed;
import org.amaranthpick.core.name.Identity;
import org.amaranthpick.core.name.ResourceKind;

/** Reads fleet sections into a draft. Resources with faults are left out but remembered. */
final class FleetReader {
    private final ManifestDraft mDraft;
    private final FaultList mFaults;

    FleetReader(ManifestDraft draft, FaultList faults) {
        mDraft = draft;
        mFaults = faults;
    }

    void read(Cursor fleet) {
        mDraft.mFleets.add(fleet.fleet());
        Function<Cursor, LinkSpec> link = FleetReader::link;
        readTable(fleet, "domains", ResourceKind.DOMAIN, mDraft.mDomains, FleetReader::domain);
        readTable(fleet, "hosts", ResourceKind.HOST, mDraft.mHosts, FleetReader::host);
        readTable(
                fleet,
                "upstreams",
                ResourceKind.UPSTREAM,
                mDraft.mUpstreams,
                FleetReader::upstream);
        readTable(
                fleet,
                "modelVersions",
                ResourceKind.MODEL_VERSION,
                mDraft.mModelVersions,
                FleetReader::modelVersion);
        readTable(fleet, "adapters", ResourceKind.ADAPTER, mDraft.mAdapters, FleetReader::adapter);
        readTable(
                fleet,
                "pipelines",
                ResourceKind.PIPELINE,
                mDraft.mPipelines,
                FleetReader::pipeline);
        readTable(
                fleet,
                "workspaces",
                ResourceKind.WORKSPACE,
                mDraft.mWorkspaces,
                FleetReader::workspace);
        readTable(fleet, "services", ResourceKind.SERVICE, mDraft.mServices, FleetReader::service);
        for (Cursor item : fleet.items("links")) {
            readOne(item, link)
                    .ifPresent(spec -> mDraft.mLinks.add(new Placed<>(spec, item.pointer())));
        }
        if (fleet.has("weightStore")) {
            readWeightStore(fleet.at("weightStore"));
        }
    }

    private <T> void readTable(
            Cursor fleet,
            String section,
            ResourceKind kind,
            ManifestDraft.Table<T> table,
            Function<Cursor, T> reader) {
        for (Cursor item : fleet.items(section)) {
            Optional<Identity> id = readOne(item.at("name"), name -> item.name(kind));
            Optional<T> spec = readOne(item, reader);
            if (id.isPresent() && spec.isEmpty()) {
                table.addFaulty(id.get());
            }
            if (id.isPresent() && spec.isPresent()) {
                addRow(table, id.get(), spec.get(), item.pointer());
            }
        }
    }

    private <T> void addRow(ManifestDraft.Table<T> table, Identity id, T spec, String pointer) {
        String other = table.add(id, spec, pointer);
        if (other != null) {
            mFaults.add(
                    pointer,
                    ManifestFault.Kind.DUPLICATE,
                    id.key() + " stands twice with different content, first at " + other,
                    "keep one of the two or rename one");
        }
    }

    private <T> Optional<T> readOne(Cursor item, Function<Cursor, T> reader) {
        if (mFaults.within(item.pointer())) {
            return Optional.empty();
        }
        try {
            return Optional.of(item.convert(reader));
        } catch (FaultyValueException e) {
            ManifestFault.Kind kind =
                    e.isName() ? ManifestFault.Kind.NAME : ManifestFault.Kind.VALUE;
            mFaults.add(e.pointer(), kind, e.getMessage(), "correct the value");
        }
        return Optional.empty();
    }

    private void readWeightStore(Cursor item) {
        if (mFaults.within(item.pointer())) {
            return;
        }
        WeightStoreSpec spec =
                new WeightStoreSpec(
                        item.fleet(),
                        item.number("bytesPerSecond"),
                        item.count("concurrentLoads", 1));
        Placed<WeightStoreSpec> earlier =
                mDraft.mWeightStores.putIfAbsent(item.fleet(), new Placed<>(spec, item.pointer()));
        if (earlier != null && !earlier.spec().equals(spec)) {
            mFaults.add(
                    item.pointer(),
                    ManifestFault.Kind.DUPLICATE,
                    "fleet "
                            + item.fleet()
                            + " has two weight stores, first at "
                            + earlier.pointer(),
                    "keep one of the two");
        }
    }

    private static DomainSpec domain(Cursor item) {
        return new DomainSpec(item.name(ResourceKind.DOMAIN), item.text("region"));
    }

    private static LinkSpec link(Cursor item) {
        boolean upstreams = item.text("between").equals("upstreams");
        ResourceKind kind = upstreams ? ResourceKind.UPSTREAM : ResourceKind.DOMAIN;
        return new LinkSpec(
                item.reference("from", kind),
                item.reference("to", kind),
                item.at("latency").convert(FleetReader::duration),
                item.number("bytesPerSecond"));
    }

    private static HostSpec host(Cursor item) {
        return new HostSpec(
                item.name(ResourceKind.HOST),
                item.reference("domain", ResourceKind.DOMAIN),
                item.text("rack"));
    }

    private static UpstreamSpec upstream(Cursor item) {
        boolean engine = item.text("role").equals("engine");
        return new UpstreamSpec(
                item.name(ResourceKind.UPSTREAM),
                engine ? UpstreamSpec.Role.ENGINE : UpstreamSpec.Role.SERVICE,
                item.reference("domain", ResourceKind.DOMAIN),
                item.optionalReference("host", ResourceKind.HOST),
                URI.create(item.text("address")),
                item.has("accelerator")
                        ? Optional.of(accelerator(item.at("accelerator")))
                        : Optional.empty(),
                item.flag("honoursFencing"),
                item.flag("checksOrderer"),
                item.items("holds").stream().map(FleetReader::holding).toList());
    }

    private static AcceleratorSpec accelerator(Cursor item) {
        return new AcceleratorSpec(
                item.text("kind"),
                item.count("count", 1),
                item.number("memoryBytes"),
                item.decimal("prefillLayerTokensPerSecond"),
                item.decimal("decodeLayerTokensPerSecond"),
                item.at("layerTime").convert(FleetReader::duration).toNanos(),
                item.count("maxStreams", 1));
    }

    private static UpstreamSpec.Holding holding(Cursor item) {
        return new UpstreamSpec.Holding(
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.at("layers").convert(FleetReader::layers),
                item.references("adapters", ResourceKind.ADAPTER));
    }

    private static LayerRange layers(Cursor item) {
        return new LayerRange(item.count("from", 0), item.count("to", 0));
    }

    private static Duration duration(Cursor item) {
        return Durations.parse(item.node().asText());
    }

    private static ModelVersionSpec modelVersion(Cursor item) {
        return new ModelVersionSpec(
                item.name(ResourceKind.MODEL_VERSION),
                item.count("layers", 1),
                item.number("layerWeightBytes"),
                item.number("activationBytes"),
                item.number("kvBytesPerLayerToken"));
    }

    private static AdapterSpec adapter(Cursor item) {
        return new AdapterSpec(
                item.name(ResourceKind.ADAPTER),
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.number("layerBytes"));
    }

    private static PipelineSpec pipeline(Cursor item) {
        return new PipelineSpec(
                item.name(ResourceKind.PIPELINE),
                item.reference("modelVersion", ResourceKind.MODEL_VERSION),
                item.optionalReference("adapter", ResourceKind.ADAPTER),
                item.count("minChains", 1));
    }

    private static WorkspaceSpec workspace(Cursor item) {
        Cursor limits = item.at("limits");
        List<String> hashes =
                item.items("credentialHashes").stream().map(hash -> hash.node().asText()).toList();
        return new WorkspaceSpec(
                item.name(ResourceKind.WORKSPACE),
                hashes,
                new WorkspaceSpec.Limits(
                        limits.decimal("requestsPerSecond"),
                        limits.decimal("tokensPerSecond"),
                        limits.count("concurrentRequests", 1)),
                item.count("weight", 1),
                item.references("pipelines", ResourceKind.PIPELINE),
                item.references("services", ResourceKind.SERVICE));
    }

    private static ServiceSpec service(Cursor item) {
        List<ServiceSpec.CallPattern> patterns =
                item.items("nonIdempotent").stream()
                        .map(
                                pattern ->
                                        new ServiceSpec.CallPattern(
                                                pattern.text("method"), pattern.text("pathPrefix")))
                        .toList();
        return new ServiceSpec(
                item.name(ResourceKind.SERVICE),
                item.references("upstreams", ResourceKind.UPSTREAM),
                patterns);
    }
}
